// Computes the difference between two configurations, row by row. Rows with the
// same name are compared with each other. A different order of rows is not a
// change, since the order has no effect.
#ifndef YUCCAFALL_TABLES_DIFF_HPP
#define YUCCAFALL_TABLES_DIFF_HPP

#include <string>
#include <variant>
#include <vector>

#include "tables/columns.hpp"
#include "tables/fault.hpp"
#include "tables/tables.hpp"

namespace yuccafall::tables {

using row = std::variant<route, pool>;

struct row_added
{
    row after;
};

struct row_removed
{
    row before;
};

struct cell_change
{
    column_name column;
    std::string before;
    std::string after;
};

struct row_changed
{
    // Invariant: before and after hold the same alternative and have the same
    // name.
    row before;
    row after;
    // Invariant: the list is not empty and is in the order of the columns.
    std::vector<cell_change> cells;
};

using row_change = std::variant<row_added, row_removed, row_changed>;

table_kind table_of(row_change const& it);
row_name name_of(row_change const& it);

// Returns the changes of routes, followed by those of pools, each ordered by
// name. The order of the result therefore depends on the configurations alone.
std::vector<row_change> diff_tables(tables const& before, tables const& after);

// Returns one line without a line end, such as
// "pools catalogue changed: slots 6 -> 8, queue 10 -> 20"
// "routes upload added: host *, path /reports, ..."
// "routes upload removed: host *, path /reports, ..."
std::string to_text(row_change const& it);

} // namespace yuccafall::tables

#endif
