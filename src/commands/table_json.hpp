// Encodes the faults of tables and the changes between tables as JSON.
#ifndef YUCCAFALL_COMMANDS_TABLE_JSON_HPP
#define YUCCAFALL_COMMANDS_TABLE_JSON_HPP

#include <vector>

#include <nlohmann/json.hpp>

#include "tables/diff.hpp"
#include "tables/fault.hpp"

namespace yuccafall::commands {

// Returns an array of {table, row, line, column, message}. The row is "" if the
// fault does not belong to a row.
nlohmann::json to_json(std::vector<tables::fault> const& faults);

// Returns an array of {table, row, change, cells}. The change is "added",
// "removed" or "changed". The cells are an array of {column, before, after},
// without "before" in an added row and without "after" in a removed row.
nlohmann::json to_json(std::vector<tables::row_change> const& changes);

} // namespace yuccafall::commands

#endif
