// Matches rows by name and compares their cells as text.
#include "tables/diff.hpp"

#include <map>

#include <fmt/format.h>

#include "core/overloaded.hpp"

namespace yuccafall::tables {

namespace {

template <class Row>
std::map<row_name, Row const*> rows_by_name(std::vector<Row> const& rows)
{
    std::map<row_name, Row const*> named;
    for (auto const& it : rows)
    {
        named.emplace(row_name(it.name.value()), &it);
    }
    return named;
}

std::vector<cell_change> changed_cells(std::vector<cell_text> before,
                                       std::vector<cell_text> after)
{
    std::vector<cell_change> changes;
    for (std::size_t n = 0; n < before.size(); ++n)
    {
        if (before[n].value != after[n].value)
        {
            changes.push_back({std::move(before[n].column),
                               std::move(before[n].value),
                               std::move(after[n].value)});
        }
    }
    return changes;
}

template <class Row>
void diff_rows(std::vector<Row> const& before, std::vector<Row> const& after,
               std::vector<row_change>& changes)
{
    auto const old_rows = rows_by_name(before);
    auto const new_rows = rows_by_name(after);
    // The rows before and after. A null pointer means that the row does not
    // exist on that side.
    std::map<row_name, std::pair<Row const*, Row const*>> pairs;
    for (auto const& [name, it] : old_rows)
    {
        pairs[name].first = it;
    }
    for (auto const& [name, it] : new_rows)
    {
        pairs[name].second = it;
    }
    for (auto const& [name, pair] : pairs)
    {
        auto const [old_row, new_row] = pair;
        if (old_row == nullptr)
        {
            changes.emplace_back(row_added{*new_row});
            continue;
        }
        if (new_row == nullptr)
        {
            changes.emplace_back(row_removed{*old_row});
            continue;
        }
        auto cells = changed_cells(cells_of(*old_row), cells_of(*new_row));
        if (!cells.empty())
        {
            changes.emplace_back(
                row_changed{*old_row, *new_row, std::move(cells)});
        }
    }
}

// Returns the row that gives the change its table and name.
row const& affected_row(row_change const& it)
{
    return std::visit(
        core::overloaded{
            [](row_added const& c) -> row const& { return c.after; },
            [](row_removed const& c) -> row const& { return c.before; },
            [](row_changed const& c) -> row const& { return c.after; }},
        it);
}

std::string format_cells(row const& it)
{
    auto const cells =
        std::visit([](auto const& r) { return cells_of(r); }, it);
    std::vector<std::string> parts;
    // The first column is skipped, since it is the name, which the line already
    // contains.
    for (std::size_t n = 1; n < cells.size(); ++n)
    {
        parts.push_back(
            fmt::format("{} {}", cells[n].column.value(), cells[n].value));
    }
    return fmt::format("{}", fmt::join(parts, ", "));
}

std::string format_cell_changes(std::vector<cell_change> const& cells)
{
    std::vector<std::string> parts;
    parts.reserve(cells.size());
    for (auto const& it : cells)
    {
        parts.push_back(
            fmt::format("{} {} -> {}", it.column.value(), it.before, it.after));
    }
    return fmt::format("{}", fmt::join(parts, ", "));
}

std::string format_change(row_change const& it)
{
    return std::visit(
        core::overloaded{[](row_added const& c) {
                             return "added: " + format_cells(c.after);
                         },
                         [](row_removed const& c) {
                             return "removed: " + format_cells(c.before);
                         },
                         [](row_changed const& c) {
                             return "changed: " + format_cell_changes(c.cells);
                         }},
        it);
}

} // namespace

table_kind table_of(row_change const& it)
{
    return std::holds_alternative<route>(affected_row(it)) ? table_kind::routes
                                                           : table_kind::pools;
}

row_name name_of(row_change const& it)
{
    return std::visit([](auto const& r) { return row_name(r.name.value()); },
                      affected_row(it));
}

std::vector<row_change> diff_tables(tables const& before, tables const& after)
{
    std::vector<row_change> changes;
    diff_rows(before.routes, after.routes, changes);
    diff_rows(before.pools, after.pools, changes);
    return changes;
}

std::string to_text(row_change const& it)
{
    return fmt::format("{} {} {}", to_string(table_of(it)), name_of(it).value(),
                       format_change(it));
}

} // namespace yuccafall::tables
