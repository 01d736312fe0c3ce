// Parses log lines. This is the inverse of core::format_event.
#include "trace/log_line.hpp"

#include <algorithm>
#include <charconv>

namespace yuccafall::trace {

namespace {

constexpr std::string_view first_key = "time_ms=";

std::optional<char> parse_hex_byte(std::string_view digits)
{
    unsigned int code = 0;
    auto const end = digits.data() + digits.size();
    auto const parsed = std::from_chars(digits.data(), end, code, 16);
    if (parsed.ec != std::errc{} || parsed.ptr != end)
    {
        return std::nullopt;
    }
    return static_cast<char>(code);
}

// Parses the quoted value at the start of `text`, which begins with the quote,
// and removes it from `text`. Returns nothing if the value is malformed.
std::optional<std::string> parse_quoted_value(std::string_view& text)
{
    std::string out;
    std::size_t i = 1;
    while (i < text.size() && text[i] != '"')
    {
        if (text[i] != '\\')
        {
            out += text[i++];
            continue;
        }
        if (i + 1 >= text.size())
        {
            return std::nullopt;
        }
        if (text[i + 1] != 'x')
        {
            out += text[i + 1];
            i += 2;
            continue;
        }
        auto const byte = parse_hex_byte(text.substr(i + 2, 2));
        if (!byte)
        {
            return std::nullopt;
        }
        out += *byte;
        i += 4;
    }
    if (i >= text.size())
    {
        return std::nullopt;
    }
    text.remove_prefix(i + 1);
    return out;
}

// Parses the value at the start of `text`, whether it is quoted or not, and
// removes it from `text`.
std::optional<std::string> parse_value(std::string_view& text)
{
    if (!text.empty() && text.front() == '"')
    {
        return parse_quoted_value(text);
    }
    auto const end = std::min(text.find(' '), text.size());
    std::string out(text.substr(0, end));
    text.remove_prefix(end);
    return out;
}

using field_list = std::vector<std::pair<std::string, std::string>>;

std::optional<field_list> parse_fields(std::string_view text)
{
    field_list out;
    while (!text.empty())
    {
        auto const equals = text.find('=');
        if (equals == std::string_view::npos || equals == 0)
        {
            return std::nullopt;
        }
        std::string key(text.substr(0, equals));
        text.remove_prefix(equals + 1);
        auto value = parse_value(text);
        if (!value || (!text.empty() && text.front() != ' '))
        {
            return std::nullopt;
        }
        out.emplace_back(std::move(key), std::move(*value));
        text.remove_prefix(std::min<std::size_t>(1, text.size()));
    }
    return out;
}

// Returns the last word of the text before a log line, without the separators
// that follow the word.
std::string last_word(std::string_view prefix)
{
    auto const end = prefix.find_last_not_of(" \t|:");
    if (end == std::string_view::npos)
    {
        return {};
    }
    prefix = prefix.substr(0, end + 1);
    auto const blank = prefix.find_last_of(" \t");
    return std::string(
        blank == std::string_view::npos ? prefix : prefix.substr(blank + 1));
}

} // namespace

std::string const* log_line::field(std::string_view name) const
{
    auto const found =
        std::find_if(fields.begin(), fields.end(),
                     [&](auto const& it) { return it.first == name; });
    return found == fields.end() ? nullptr : &found->second;
}

std::optional<log_line> parse_log_line(std::string_view text)
{
    auto const start = text.find(first_key);
    if (start == std::string_view::npos)
    {
        return std::nullopt;
    }
    auto fields = parse_fields(text.substr(start));
    if (!fields || fields->size() < 3 || (*fields)[1].first != "level" ||
        (*fields)[2].first != "event")
    {
        return std::nullopt;
    }
    log_line it;
    long ms = 0;
    auto const& time = fields->front().second;
    auto const end = time.data() + time.size();
    auto const parsed = std::from_chars(time.data(), end, ms);
    if (parsed.ec != std::errc{} || parsed.ptr != end)
    {
        return std::nullopt;
    }
    it.source = last_word(text.substr(0, start));
    it.since_epoch = core::milliseconds(ms);
    it.level = std::move((*fields)[1].second);
    it.event = std::move((*fields)[2].second);
    it.fields.assign(std::make_move_iterator(fields->begin() + 3),
                     std::make_move_iterator(fields->end()));
    return it;
}

} // namespace yuccafall::trace
