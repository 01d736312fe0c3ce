// Looks up the cells of a row by column name and reports faults.
#include "tables/row_reader.hpp"

#include <algorithm>

#include <fmt/format.h>

namespace yuccafall::tables {

namespace {

row_reference reference_to(raw_row const& row, raw_cell const* name)
{
    auto const* scalar =
        name == nullptr ? nullptr : std::get_if<raw_scalar>(&name->value);
    if (scalar == nullptr || !parse_name(scalar->text))
    {
        return row.number;
    }
    return row_name(scalar->text);
}

} // namespace

row_reader::row_reader(raw_row const& row, fault_list& faults)
    : row_(row), reference_(reference_to(row, nullptr)), faults_(faults)
{
    reference_ = reference_to(row, find_cell("name"));
}

void row_reader::add_fault(std::string_view column, std::string message)
{
    auto const* cell = find_cell(column);
    add_fault_at(cell == nullptr ? row_.line : cell->line, column,
                 std::move(message));
}

void row_reader::check_columns(std::string_view const* first,
                               std::string_view const* last)
{
    auto const known = [&](std::string_view column) {
        return std::find(first, last, column) != last;
    };
    std::vector<std::string_view> seen;
    for (auto const& cell : row_.cells)
    {
        if (!known(cell.column))
        {
            add_fault_at(cell.line, "",
                         fmt::format("unknown column {}", quoted(cell.column)));
            continue;
        }
        if (std::find(seen.begin(), seen.end(), cell.column) != seen.end())
        {
            add_fault_at(cell.line, cell.column,
                         "the column is given more than once");
            continue;
        }
        seen.push_back(cell.column);
    }
}

raw_cell const* row_reader::find_cell(std::string_view column) const
{
    auto const it = std::find_if(
        row_.cells.begin(), row_.cells.end(),
        [&](raw_cell const& cell) { return cell.column == column; });
    return it == row_.cells.end() ? nullptr : &*it;
}

raw_scalar const* row_reader::find_scalar(std::string_view column)
{
    auto const* cell = find_cell(column);
    if (cell == nullptr)
    {
        add_fault_at(row_.line, column, "the column is missing");
        return nullptr;
    }
    auto const* it = std::get_if<raw_scalar>(&cell->value);
    if (it == nullptr)
    {
        add_fault_at(cell->line, column, "the value is not a single value");
    }
    return it;
}

raw_list const* row_reader::find_list(std::string_view column)
{
    auto const* cell = find_cell(column);
    if (cell == nullptr)
    {
        add_fault_at(row_.line, column, "the column is missing");
        return nullptr;
    }
    auto const* it = std::get_if<raw_list>(&cell->value);
    if (it == nullptr || it->empty())
    {
        add_fault_at(cell->line, column,
                     "the value is not a list of names such as [local]");
        return nullptr;
    }
    return it;
}

void row_reader::add_fault_at(line_number line, std::string_view column,
                              std::string message)
{
    faults_.add(reference_, line, column_name(std::string(column)),
                std::move(message));
}

} // namespace yuccafall::tables
