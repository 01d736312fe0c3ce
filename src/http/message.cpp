// Looks up and changes headers, and serializes messages.
#include "http/message.hpp"

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>
#include <ostream>

#include <boost/beast/http/status.hpp>
#include <fmt/format.h>

namespace yuccafall::http {

namespace {

constexpr std::array<std::string_view, 8> connection_headers{
    "connection", "keep-alive",        "proxy-connection", "te",
    "trailer",    "transfer-encoding", "upgrade",          "content-length"};

std::string_view trimmed(std::string_view text)
{
    auto const is_blank = [](char c) { return c == ' ' || c == '\t'; };
    while (!text.empty() && is_blank(text.front()))
    {
        text.remove_prefix(1);
    }
    while (!text.empty() && is_blank(text.back()))
    {
        text.remove_suffix(1);
    }
    return text;
}

std::vector<std::string> headers_named_by_connection(header_list const& list)
{
    std::vector<std::string> names;
    for (auto const& it : list)
    {
        if (!equal_header_names(it.name, "connection"))
        {
            continue;
        }
        std::string_view rest = it.value;
        while (!rest.empty())
        {
            auto const comma = std::min(rest.find(','), rest.size());
            names.emplace_back(trimmed(rest.substr(0, comma)));
            rest.remove_prefix(std::min(comma + 1, rest.size()));
        }
    }
    return names;
}

void append_headers(std::string& out, header_list const& list)
{
    for (auto const& it : list)
    {
        out += it.name;
        out += ": ";
        out += it.value;
        out += "\r\n";
    }
}

bool may_omit_content_length(std::string_view method)
{
    return method == "GET" || method == "HEAD" || method == "DELETE" ||
           method == "OPTIONS";
}

} // namespace

bool equal_header_names(std::string_view a, std::string_view b)
{
    return a.size() == b.size() &&
           std::equal(a.begin(), a.end(), b.begin(), [](char x, char y) {
               return std::tolower(static_cast<unsigned char>(x)) ==
                      std::tolower(static_cast<unsigned char>(y));
           });
}

std::string const* find_header(header_list const& list, std::string_view name)
{
    auto const it =
        std::find_if(list.begin(), list.end(), [&](header const& h) {
            return equal_header_names(h.name, name);
        });
    return it == list.end() ? nullptr : &it->value;
}

std::size_t count_headers(header_list const& list, std::string_view name)
{
    return static_cast<std::size_t>(
        std::count_if(list.begin(), list.end(), [&](header const& h) {
            return equal_header_names(h.name, name);
        }));
}

void remove_header(header_list& list, std::string_view name)
{
    list.erase(std::remove_if(list.begin(), list.end(),
                              [&](header const& h) {
                                  return equal_header_names(h.name, name);
                              }),
               list.end());
}

void set_header(header_list& list, std::string_view name, std::string value)
{
    remove_header(list, name);
    list.push_back({std::string(name), std::move(value)});
}

void strip_connection_headers(header_list& list)
{
    auto const listed_names = headers_named_by_connection(list);
    auto const is_connection_header = [&](header const& h) {
        auto const equals_header = [&](std::string_view name) {
            return equal_header_names(h.name, name);
        };
        return std::any_of(connection_headers.begin(), connection_headers.end(),
                           equals_header) ||
               std::any_of(listed_names.begin(), listed_names.end(),
                           equals_header);
    };
    list.erase(std::remove_if(list.begin(), list.end(), is_connection_header),
               list.end());
}

std::optional<std::uint64_t> parse_number(std::string_view text)
{
    std::uint64_t n = 0;
    auto const end = text.data() + text.size();
    auto const parsed = std::from_chars(text.data(), end, n);
    if (text.empty() || parsed.ec != std::errc{} || parsed.ptr != end)
    {
        return std::nullopt;
    }
    return n;
}

std::string serialize(request const& it)
{
    std::string out;
    out.reserve(256 + it.body.size());
    out += it.method;
    out += ' ';
    out += it.target;
    out += " HTTP/1.1\r\n";
    append_headers(out, it.headers);
    if (!it.body.empty() || !may_omit_content_length(it.method))
    {
        out += fmt::format("Content-Length: {}\r\n", it.body.size());
    }
    out += "\r\n";
    out += it.body;
    return out;
}

std::string serialize_head(response const& it, serialize_options options)
{
    auto const reason = boost::beast::http::obsolete_reason(
        static_cast<boost::beast::http::status>(it.status));
    std::string out;
    out.reserve(256);
    out += fmt::format("HTTP/1.1 {} {}\r\n", it.status,
                       std::string_view(reason.data(), reason.size()));
    append_headers(out, it.headers);
    if (it.status != 204 && it.status != 304)
    {
        out += fmt::format("Content-Length: {}\r\n", it.body.size());
    }
    if (!options.keep_alive)
    {
        out += "Connection: close\r\n";
    }
    out += "\r\n";
    return out;
}

std::string serialize(response const& it, serialize_options options)
{
    auto out = serialize_head(it, options);
    if (!options.omit_body)
    {
        out += it.body;
    }
    return out;
}

} // namespace yuccafall::http
