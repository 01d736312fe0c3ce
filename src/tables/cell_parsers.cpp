// Checks the syntax and the range of each kind of cell.
#include "tables/cell_parsers.hpp"

#include <algorithm>
#include <charconv>
#include <optional>

#include <fmt/format.h>

#include "tables/fault.hpp"
#include "tables/request_target.hpp"

namespace yuccafall::tables {

namespace {

struct time_unit
{
    std::string_view suffix;
    core::milliseconds duration;
};

constexpr std::array<time_unit, 3> time_units{
    {{"ms", core::milliseconds(1)},
     {"s", core::milliseconds(1000)},
     {"m", core::milliseconds(60'000)}}};

tl::unexpected<std::string> invalid(std::string message)
{
    return tl::unexpected<std::string>(std::move(message));
}

bool is_lower(char c)
{
    return c >= 'a' && c <= 'z';
}

bool is_digit(char c)
{
    return c >= '0' && c <= '9';
}

bool is_letter(char c)
{
    return is_lower(c) || (c >= 'A' && c <= 'Z');
}

bool is_one_of(char c, std::string_view set)
{
    return set.find(c) != std::string_view::npos;
}

std::size_t count_digits(std::string_view text)
{
    auto const end = std::find_if_not(text.begin(), text.end(), is_digit);
    return static_cast<std::size_t>(end - text.begin());
}

// Returns nothing unless the text consists of digits only, has no leading zeros
// and represents a number below 10^9.
std::optional<std::uint32_t> parse_digits(std::string_view text)
{
    constexpr std::size_t max_digits = 9;
    if (text.empty() || text.size() > max_digits ||
        count_digits(text) != text.size() ||
        (text.size() > 1 && text[0] == '0'))
    {
        return std::nullopt;
    }
    std::uint32_t n = 0;
    std::from_chars(text.data(), text.data() + text.size(), n);
    return n;
}

bool is_whole_number(std::string_view text)
{
    return !text.empty() && count_digits(text) == text.size() &&
           (text.size() == 1 || text[0] != '0');
}

bool is_dns_label(std::string_view label)
{
    return !label.empty() && label.size() <= max_name_length &&
           label.front() != '-' && label.back() != '-' &&
           std::all_of(label.begin(), label.end(), [](char c) {
               return is_lower(c) || is_digit(c) || c == '-';
           });
}

bool is_host_name(std::string_view text)
{
    if (text.size() > max_host_length)
    {
        return false;
    }
    while (true)
    {
        auto const dot = text.find('.');
        if (!is_dns_label(text.substr(0, dot)))
        {
            return false;
        }
        if (dot == std::string_view::npos)
        {
            return true;
        }
        text.remove_prefix(dot + 1);
    }
}

bool is_path_character(char c)
{
    return is_letter(c) || is_digit(c) || is_one_of(c, "/-._~!$&'()*+,;=:@");
}

} // namespace

bool is_known_method(std::string_view method) noexcept
{
    return std::find(known_methods.begin(), known_methods.end(), method) !=
           known_methods.end();
}

parse_result<std::string> parse_name(std::string_view text)
{
    if (text.empty())
    {
        return invalid("the name is empty");
    }
    if (text.size() > max_name_length)
    {
        return invalid(
            fmt::format("{} has {} characters; a name has at most {}",
                        quoted(text), text.size(), max_name_length));
    }
    auto const all_allowed = std::all_of(text.begin(), text.end(), [](char c) {
        return is_lower(c) || is_digit(c) || is_one_of(c, "-_.");
    });
    if (!all_allowed || is_one_of(text.front(), "-_."))
    {
        return invalid(fmt::format("{} is not a name; use a-z, 0-9, '-', '_' "
                                   "and '.', with a letter or digit first",
                                   quoted(text)));
    }
    return std::string(text);
}

parse_result<std::string> parse_host(std::string_view text)
{
    if (text == "*" || is_host_name(text))
    {
        return std::string(text);
    }
    return invalid(fmt::format("{} is not a host; write a DNS name or IPv4 "
                               "number in lower case without port, or \"*\"",
                               quoted(text)));
}

parse_result<std::string> parse_path(std::string_view text)
{
    if (text.empty() || text.front() != '/')
    {
        return invalid(
            fmt::format("the path {} does not begin with \"/\"", quoted(text)));
    }
    if (text.size() > max_path_length)
    {
        return invalid(fmt::format("the path has {} bytes; at most {} are "
                                   "allowed",
                                   text.size(), max_path_length));
    }
    if (!std::all_of(text.begin(), text.end(), is_path_character))
    {
        return invalid(
            fmt::format("the path {} holds a character that is not "
                        "allowed; write it without query, blanks and "
                        "percent-encoding",
                        quoted(text)));
    }
    if (text.size() > 1 && text.back() == '/')
    {
        return invalid(
            fmt::format("the path {} ends with \"/\"; without it the "
                        "same requests match",
                        quoted(text)));
    }
    if (!canonical_path(text))
    {
        return invalid(
            fmt::format("the path {} holds an empty, \".\" or \"..\" "
                        "segment, which no request matches",
                        quoted(text)));
    }
    return std::string(text);
}

parse_result<std::string> parse_method(std::string_view text)
{
    if (text == "*" || is_known_method(text))
    {
        return std::string(text);
    }
    return invalid(fmt::format("{} is not a method; write one of {} or \"*\"",
                               quoted(text), fmt::join(known_methods, ", ")));
}

parse_result<core::milliseconds> parse_deadline(std::string_view text)
{
    auto const digits = count_digits(text);
    auto const number = text.substr(0, digits);
    auto const suffix = text.substr(digits);
    auto const it =
        std::find_if(time_units.begin(), time_units.end(),
                     [&](time_unit const& u) { return u.suffix == suffix; });
    if (it == time_units.end() || !is_whole_number(number))
    {
        return invalid(
            fmt::format("{} is not a time; write a whole number with "
                        "the unit ms, s or m",
                        quoted(text)));
    }
    auto const count = parse_digits(number);
    if (!count || *count * it->duration < min_deadline ||
        *count * it->duration > max_deadline)
    {
        return invalid(fmt::format("{} is outside of {} to {}", quoted(text),
                                   to_string(min_deadline),
                                   to_string(max_deadline)));
    }
    return *count * it->duration;
}

parse_result<bool> parse_bool(std::string_view text)
{
    if (text == "true" || text == "false")
    {
        return text == "true";
    }
    return invalid(fmt::format("{} is not true or false", quoted(text)));
}

parse_result<work_class> parse_work_class(std::string_view text)
{
    for (auto const it : {work_class::short_requests, work_class::long_requests,
                          work_class::automatic})
    {
        if (text == to_string(it))
        {
            return it;
        }
    }
    return invalid(fmt::format("{} is not short, long or auto", quoted(text)));
}

parse_result<core::percentage> parse_percentage(std::string_view text)
{
    constexpr std::uint32_t max_percentage = 100;
    if (text.empty() || text.back() != '%' ||
        !is_whole_number(text.substr(0, text.size() - 1)))
    {
        return invalid(fmt::format("{} is not a percentage; write a whole "
                                   "number with the unit %",
                                   quoted(text)));
    }
    auto const n = parse_digits(text.substr(0, text.size() - 1));
    if (!n || *n > max_percentage)
    {
        return invalid(
            fmt::format("{} is outside of 0% to 100%", quoted(text)));
    }
    return core::percentage(*n);
}

parse_result<std::uint32_t>
parse_count(std::string_view text, std::uint32_t lowest, std::uint32_t highest)
{
    if (!is_whole_number(text))
    {
        return invalid(
            fmt::format("{} is not a whole number without unit", quoted(text)));
    }
    auto const n = parse_digits(text);
    if (!n || *n < lowest || *n > highest)
    {
        return invalid(fmt::format("{} is outside of {} to {}", quoted(text),
                                   lowest, highest));
    }
    return *n;
}

std::string_view to_string(work_class it) noexcept
{
    switch (it)
    {
    case work_class::short_requests:
        return "short";
    case work_class::long_requests:
        return "long";
    case work_class::automatic:
        return "auto";
    }
    return "auto";
}

std::string to_string(core::milliseconds it)
{
    for (auto u = time_units.rbegin(); u != time_units.rend(); ++u)
    {
        if (it % u->duration == core::milliseconds(0))
        {
            return fmt::format("{}{}", it / u->duration, u->suffix);
        }
    }
    return fmt::format("{}ms", it.count());
}

} // namespace yuccafall::tables
