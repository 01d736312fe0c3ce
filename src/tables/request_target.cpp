// Decodes and checks the path of a request and normalizes its host.
#include "tables/request_target.hpp"

#include <algorithm>
#include <optional>

namespace yuccafall::tables {

namespace {

tl::unexpected<core::error> rejected(std::string detail)
{
    return core::failure(core::error_kind::bad_request, std::move(detail));
}

std::optional<unsigned> hex_value(char c)
{
    if (c >= '0' && c <= '9')
    {
        return c - '0';
    }
    if (c >= 'a' && c <= 'f')
    {
        return c - 'a' + 10;
    }
    if (c >= 'A' && c <= 'F')
    {
        return c - 'A' + 10;
    }
    return std::nullopt;
}

// Decodes the percent-encoding at the start of the text. Returns nothing if it
// is malformed.
std::optional<char> decode_escape(std::string_view text)
{
    if (text.size() < 3)
    {
        return std::nullopt;
    }
    auto const high = hex_value(text[1]);
    auto const low = hex_value(text[2]);
    if (!high || !low)
    {
        return std::nullopt;
    }
    return static_cast<char>(*high << 4 | *low);
}

bool is_forbidden_byte(char c)
{
    auto const byte = static_cast<unsigned char>(c);
    return byte < 0x20 || byte == 0x7F || c == '\\' || c == '#';
}

core::result<std::string> percent_decode(std::string_view path)
{
    std::string decoded;
    decoded.reserve(path.size());
    while (!path.empty())
    {
        bool const is_escape = path.front() == '%';
        auto const c = is_escape ? decode_escape(path) : path.front();
        if (!c)
        {
            return rejected("the path holds a malformed percent-encoding");
        }
        if (is_forbidden_byte(*c) || (is_escape && *c == '/'))
        {
            return rejected("the path holds a byte that nodes and upstreams "
                            "could read differently");
        }
        decoded += *c;
        path.remove_prefix(is_escape ? 3 : 1);
    }
    return decoded;
}

// Returns whether the path has an empty, "." or ".." segment. The path must
// begin with '/' and must not end with '/'.
bool has_unsafe_segment(std::string_view path)
{
    while (!path.empty())
    {
        path.remove_prefix(1);
        auto const end = std::min(path.find('/'), path.size());
        auto const segment = path.substr(0, end);
        if (segment.empty() || segment == "." || segment == "..")
        {
            return true;
        }
        path.remove_prefix(end);
    }
    return false;
}

} // namespace

core::result<std::string> canonical_path(std::string_view target)
{
    if (target.empty() || target.front() != '/')
    {
        return rejected("the path does not begin with \"/\"");
    }
    auto decoded = percent_decode(target.substr(0, target.find('?')));
    if (!decoded || decoded->size() == 1)
    {
        return decoded;
    }
    if (decoded->back() == '/')
    {
        decoded->pop_back();
    }
    if (has_unsafe_segment(*decoded))
    {
        return rejected("the path holds an empty, \".\" or \"..\" segment");
    }
    return decoded;
}

std::string canonical_host(std::string_view host)
{
    // The colons inside an IPv6 address in brackets do not start the port.
    auto const port = host.find(':', host.find(']') + 1);
    host = host.substr(0, port);
    if (!host.empty() && host.back() == '.')
    {
        host.remove_suffix(1);
    }
    std::string lower(host);
    std::transform(lower.begin(), lower.end(), lower.begin(), [](char c) {
        return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
    });
    return lower;
}

} // namespace yuccafall::tables
