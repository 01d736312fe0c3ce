// Formats the cells of a row as text.
#include "tables/columns.hpp"

#include <fmt/format.h>

#include "tables/cell_parsers.hpp"

namespace yuccafall::tables {

namespace {

template <std::size_t Count>
std::vector<cell_text>
label_cells(std::array<std::string_view, Count> const& names,
            std::array<std::string, Count> values)
{
    std::vector<cell_text> cells;
    cells.reserve(Count);
    for (std::size_t n = 0; n < Count; ++n)
    {
        cells.push_back(
            {column_name(std::string(names[n])), std::move(values[n])});
    }
    return cells;
}

std::string format_list(std::vector<core::data_centre> const& list)
{
    std::vector<std::string_view> names;
    names.reserve(list.size());
    for (auto const& it : list)
    {
        names.push_back(it.value());
    }
    return fmt::format("[{}]", fmt::join(names, ", "));
}

} // namespace

std::vector<cell_text> cells_of(route const& it)
{
    return label_cells<route_columns.size()>(
        route_columns,
        {it.name.value(), it.host, it.path, it.method, it.pool.value(),
         to_string(it.deadline), it.idempotent ? "true" : "false",
         std::string(to_string(it.work))});
}

std::vector<cell_text> cells_of(pool const& it)
{
    return label_cells<pool_columns.size()>(
        pool_columns,
        {it.name.value(), it.service.value(), std::to_string(it.slots.value()),
         std::to_string(it.reserved_for_short.value()),
         std::to_string(it.connections.value()),
         std::to_string(it.queue.value()),
         fmt::format("{}%", it.retry_budget.value()),
         format_list(it.data_centres)});
}

} // namespace yuccafall::tables
