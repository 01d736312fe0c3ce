// Checks the bytes of a table before any of them is parsed.
#ifndef YUCCAFALL_TABLES_BYTE_SCAN_HPP
#define YUCCAFALL_TABLES_BYTE_SCAN_HPP

#include <cstddef>
#include <string_view>

#include "tables/fault.hpp"

namespace yuccafall::tables {

// The platform transports values of at most 1 MB.
inline constexpr std::size_t max_table_size = 1'000'000;

// yaml-cpp keeps the tokens of a flow list in memory until the line ends: a
// single line of 1 MB took 140 MB of memory. A row whose cells all have the
// maximum length still fits into one line.
inline constexpr std::size_t max_line_length = 4096;

// Adds a fault if the text or a line is too large, if the text ends inside a
// line, starts with a byte order mark or is not valid UTF-8, or if it contains
// tabs or control characters. A text that is too large is not scanned further,
// and the length and the characters of a line give at most one fault. In a text
// without such a fault every line ends with a single LF, so that all readers
// count the same lines.
void scan_bytes(std::string_view text, fault_list& faults);

} // namespace yuccafall::tables

#endif
