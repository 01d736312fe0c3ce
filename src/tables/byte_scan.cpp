// Checks the size, the encoding and the characters of a table.
#include "tables/byte_scan.hpp"

#include <optional>

#include <fmt/format.h>

namespace yuccafall::tables {

namespace {

constexpr std::string_view byte_order_mark = "\xEF\xBB\xBF";

struct code_point
{
    std::uint32_t value;
    std::size_t length;
};

unsigned byte_at(std::string_view text, std::size_t n)
{
    return static_cast<unsigned char>(text[n]);
}

std::optional<std::size_t> sequence_length(unsigned lead)
{
    if (lead < 0x80)
    {
        return 1;
    }
    if (lead >= 0xC2 && lead <= 0xDF)
    {
        return 2;
    }
    if ((lead & 0xF0) == 0xE0)
    {
        return 3;
    }
    if (lead >= 0xF0 && lead <= 0xF4)
    {
        return 4;
    }
    return std::nullopt;
}

bool is_shortest_form(code_point const& it)
{
    return it.length < 3 || it.value >= (it.length == 3 ? 0x800U : 0x10000U);
}

bool is_scalar_value(std::uint32_t value)
{
    return value <= 0x10FFFF && (value < 0xD800 || value > 0xDFFF);
}

// Decodes the first code point of the text. Returns nothing if the bytes there
// are not valid UTF-8.
std::optional<code_point> decode_code_point(std::string_view text)
{
    auto const lead = byte_at(text, 0);
    auto const length = sequence_length(lead);
    if (!length || *length > text.size())
    {
        return std::nullopt;
    }
    code_point it{*length == 1 ? lead : lead & (0x7FU >> *length), *length};
    for (std::size_t n = 1; n < *length; ++n)
    {
        auto const next = byte_at(text, n);
        if ((next & 0xC0) != 0x80)
        {
            return std::nullopt;
        }
        it.value = it.value << 6 | (next & 0x3F);
    }
    if (!is_shortest_form(it) || !is_scalar_value(it.value))
    {
        return std::nullopt;
    }
    return it;
}

std::optional<std::string> find_character_fault(std::uint32_t value)
{
    if (value == '\t')
    {
        return "a tab is not allowed; indent with spaces";
    }
    if (value == '\r')
    {
        return "a carriage return is not allowed; end lines with LF alone";
    }
    if (value < 0x20 || (value >= 0x7F && value <= 0x9F))
    {
        return fmt::format("the control character 0x{:02x} is not allowed",
                           value);
    }
    return std::nullopt;
}

std::optional<std::string> find_line_fault(std::string_view line)
{
    if (line.size() > max_line_length)
    {
        return fmt::format("the line is longer than {} bytes", max_line_length);
    }
    while (!line.empty())
    {
        auto const it = decode_code_point(line);
        if (!it)
        {
            return fmt::format("byte 0x{:02x} is not valid UTF-8",
                               byte_at(line, 0));
        }
        if (auto message = find_character_fault(it->value))
        {
            return message;
        }
        line.remove_prefix(it->length);
    }
    return std::nullopt;
}

void scan_lines(std::string_view text, fault_list& faults)
{
    for (std::uint32_t line = 1; !text.empty(); ++line)
    {
        auto const end = text.find('\n');
        if (auto message = find_line_fault(text.substr(0, end)))
        {
            faults.add({}, line_number(line), {}, std::move(*message));
        }
        if (end == std::string_view::npos)
        {
            faults.add({}, line_number(line), {},
                       "the last line has no line end; the table may be "
                       "truncated");
            return;
        }
        text.remove_prefix(end + 1);
    }
}

} // namespace

void scan_bytes(std::string_view text, fault_list& faults)
{
    if (text.size() > max_table_size)
    {
        faults.add(
            {}, line_number(1), {},
            fmt::format("the table is larger than {} bytes", max_table_size));
        return;
    }
    if (text.substr(0, byte_order_mark.size()) == byte_order_mark)
    {
        faults.add({}, line_number(1), {}, "a byte order mark is not allowed");
    }
    scan_lines(text, faults);
}

} // namespace yuccafall::tables
