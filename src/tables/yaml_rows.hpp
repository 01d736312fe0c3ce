// Reads the rows of a table from its YAML, without checking any value.
#ifndef YUCCAFALL_TABLES_YAML_ROWS_HPP
#define YUCCAFALL_TABLES_YAML_ROWS_HPP

#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "tables/fault.hpp"

namespace yuccafall::tables {

// A valid table has three levels: the list of rows, a row, and the list in a
// cell. The limit is one more. A table with deeper nesting is rejected before
// the rest of it is parsed.
inline constexpr std::size_t max_nesting_depth = 4;

struct raw_scalar
{
    line_number line;
    std::string text;
};

using raw_list = std::vector<raw_scalar>;

// A value whose structure is valid for no column, such as a map.
struct raw_nested
{};

using raw_value = std::variant<raw_scalar, raw_list, raw_nested>;

struct raw_cell
{
    line_number line;
    std::string column;
    raw_value value;
};

struct raw_row
{
    row_number number;
    line_number line;
    std::vector<raw_cell> cells;
};

// Returns nothing if the text could not be parsed to its end; the faults then
// say why. A row that is not a map is omitted and reported as a fault. The text
// must have passed scan_bytes without a fault.
std::optional<std::vector<raw_row>> read_rows(std::string const& text,
                                              fault_list& faults);

} // namespace yuccafall::tables

#endif
