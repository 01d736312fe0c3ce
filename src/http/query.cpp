// Implements percent-encoding and parses the query parameters of a target.
#include "http/query.hpp"

#include <algorithm>
#include <cctype>
#include <charconv>

#include <fmt/format.h>

namespace yuccafall::http {

std::string percent_encoded(std::string_view text)
{
    std::string out;
    for (unsigned char const c : text)
    {
        if (std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.' ||
            c == '~')
        {
            out += static_cast<char>(c);
            continue;
        }
        out += fmt::format("%{:02X}", c);
    }
    return out;
}

std::string percent_decoded(std::string_view text)
{
    std::string out;
    for (std::size_t i = 0; i < text.size(); ++i)
    {
        if (text[i] != '%')
        {
            out += text[i];
            continue;
        }
        unsigned byte = 0;
        auto const digits = text.substr(i + 1, 2);
        auto const end = digits.data() + digits.size();
        auto const parsed = std::from_chars(digits.data(), end, byte, 16);
        if (digits.size() != 2 || parsed.ec != std::errc{} || parsed.ptr != end)
        {
            return std::string(text);
        }
        out += static_cast<char>(byte);
        i += 2;
    }
    return out;
}

parsed_target parse_target(std::string_view target)
{
    auto const query_start = std::min(target.find('?'), target.size());
    parsed_target out;
    out.path = percent_decoded(target.substr(0, query_start));
    auto rest = target.substr(std::min(query_start + 1, target.size()));
    while (!rest.empty())
    {
        auto const end = std::min(rest.find('&'), rest.size());
        auto const parameter = rest.substr(0, end);
        auto const equals_sign =
            std::min(parameter.find('='), parameter.size());
        out.parameters[percent_decoded(parameter.substr(0, equals_sign))] =
            percent_decoded(
                parameter.substr(std::min(equals_sign + 1, parameter.size())));
        rest.remove_prefix(std::min(end + 1, rest.size()));
    }
    return out;
}

} // namespace yuccafall::http
