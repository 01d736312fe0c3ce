// Reads the cells of one row and reports cells that are unknown, missing,
// duplicate or invalid.
#ifndef YUCCAFALL_TABLES_ROW_READER_HPP
#define YUCCAFALL_TABLES_ROW_READER_HPP

#include <optional>
#include <string_view>
#include <vector>

#include "tables/cell_parsers.hpp"
#include "tables/yaml_rows.hpp"

namespace yuccafall::tables {

class row_reader
{
public:
    row_reader(raw_row const& row, fault_list& faults);

    // Returns the row's name if it is valid, otherwise its number.
    row_reference const& reference() const { return reference_; }
    line_number line() const { return row_.line; }

    template <std::size_t Count>
    void check_columns(std::array<std::string_view, Count> const& columns)
    {
        check_columns(columns.data(), columns.data() + Count);
    }

    // Returns nothing if the cell is missing or invalid, and reports the fault.
    template <class Parse>
    auto read(std::string_view column, Parse parse) -> std::optional<
        typename decltype(parse(std::string_view()))::value_type>
    {
        auto const* cell = find_scalar(column);
        if (cell == nullptr)
        {
            return std::nullopt;
        }
        return value_or_fault(*cell, column, parse(cell->text));
    }

    // Reads a cell that holds a list. Returns nothing if the cell is missing or
    // any item is invalid, and reports the faults. The calling code checks that
    // the items are distinct.
    template <class Parse>
    auto read_list(std::string_view column, Parse parse) -> std::optional<
        std::vector<typename decltype(parse(std::string_view()))::value_type>>
    {
        auto const* list = find_list(column);
        if (list == nullptr)
        {
            return std::nullopt;
        }
        std::vector<typename decltype(parse(std::string_view()))::value_type>
            items;
        bool complete = true;
        for (auto const& it : *list)
        {
            auto item = value_or_fault(it, column, parse(it.text));
            complete = complete && item;
            if (item)
            {
                items.push_back(std::move(*item));
            }
        }
        return complete ? std::optional(std::move(items)) : std::nullopt;
    }

    void add_fault(std::string_view column, std::string message);

private:
    void check_columns(std::string_view const* first,
                       std::string_view const* last);
    raw_cell const* find_cell(std::string_view column) const;
    raw_scalar const* find_scalar(std::string_view column);
    raw_list const* find_list(std::string_view column);
    void add_fault_at(line_number line, std::string_view column,
                      std::string message);

    template <class T>
    std::optional<T> value_or_fault(raw_scalar const& scalar,
                                    std::string_view column,
                                    parse_result<T> value)
    {
        if (!value)
        {
            add_fault_at(scalar.line, column, std::move(value.error()));
            return std::nullopt;
        }
        return std::move(*value);
    }

    raw_row const& row_;
    row_reference reference_;
    fault_list& faults_;
};

} // namespace yuccafall::tables

#endif
