// JSON form of faults and differences.
#ifndef YUCCAFALL_COMMANDS_TABLE_JSON_HPP
#define YUCCAFALL_COMMANDS_TABLE_JSON_HPP

#include <vector>

#include <nlohmann/json.hpp>

#include "tables/diff.hpp"
#include "tables/fault.hpp"

namespace yuccafall::commands {

// A list of {table, row, line, column, message}; row is "" where the fault
// belongs to none.
nlohmann::json to_json(std::vector<tables::fault> const& faults);

// A list of {table, row, change, cells}; change is "added", "removed" or
// "changed", and cells is a list of {column, before, after} without the side
// that does not exist.
nlohmann::json to_json(std::vector<tables::row_change> const& changes);

} // namespace yuccafall::commands

#endif
