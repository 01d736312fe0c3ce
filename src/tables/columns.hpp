// Defines the column names of both tables and formats the cells of a row.
#ifndef YUCCAFALL_TABLES_COLUMNS_HPP
#define YUCCAFALL_TABLES_COLUMNS_HPP

#include <array>
#include <string>
#include <string_view>
#include <vector>

#include "tables/fault.hpp"
#include "tables/tables.hpp"

namespace yuccafall::tables {

// The columns are in the order in which the documentation and a diff list them.
inline constexpr std::array<std::string_view, 8> route_columns{
    "name", "host", "path", "method", "pool", "deadline", "idempotent", "work"};

inline constexpr std::array<std::string_view, 8> pool_columns{
    "name",        "service", "slots",        "reserved_for_short",
    "connections", "queue",   "retry_budget", "data_centres"};

struct cell_text
{
    column_name column;
    std::string value;
};

// Returns one entry for each column, in the order of route_columns or
// pool_columns.
std::vector<cell_text> cells_of(route const& it);
std::vector<cell_text> cells_of(pool const& it);

} // namespace yuccafall::tables

#endif
