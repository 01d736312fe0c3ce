// Encodes tables as JSON.
#include "commands/table_json.hpp"

#include "core/overloaded.hpp"

namespace yuccafall::commands {

namespace {

using value = nlohmann::json;

value text(std::string_view it)
{
    return value(std::string(it));
}

template <class Item, class Encode>
value list(std::vector<Item> const& items, Encode encode)
{
    auto values = value::array();
    for (auto const& it : items)
    {
        values.push_back(encode(it));
    }
    return values;
}

value encoded_fault(tables::fault const& it)
{
    auto object = value::object();
    object["table"] = text(tables::to_string(it.table));
    object["row"] = text(tables::to_string(it.row));
    object["line"] = it.line.value();
    object["column"] = text(it.column.value());
    object["message"] = text(it.message);
    return object;
}

// The cells of a row that exists on one side only.
value one_sided(tables::row const& row, std::string const& side)
{
    auto const cells =
        std::visit([](auto const& it) { return tables::cells_of(it); }, row);
    return list(cells, [&](tables::cell_text const& it) {
        auto object = value::object();
        object["column"] = text(it.column.value());
        object[side] = text(it.value);
        return object;
    });
}

value both_sides(tables::cell_change const& it)
{
    auto object = value::object();
    object["column"] = text(it.column.value());
    object["before"] = text(it.before);
    object["after"] = text(it.after);
    return object;
}

value encoded_change(tables::row_change const& it)
{
    auto object = value::object();
    object["table"] = text(tables::to_string(tables::table_of(it)));
    object["row"] = text(tables::name_of(it).value());
    std::visit(core::overloaded{[&](tables::row_added const& c) {
                                    object["change"] = text("added");
                                    object["cells"] =
                                        one_sided(c.after, "after");
                                },
                                [&](tables::row_removed const& c) {
                                    object["change"] = text("removed");
                                    object["cells"] =
                                        one_sided(c.before, "before");
                                },
                                [&](tables::row_changed const& c) {
                                    object["change"] = text("changed");
                                    object["cells"] = list(c.cells, both_sides);
                                }},
               it);
    return object;
}

} // namespace

value to_json(std::vector<tables::fault> const& faults)
{
    return list(faults, encoded_fault);
}

value to_json(std::vector<tables::row_change> const& changes)
{
    return list(changes, encoded_change);
}

} // namespace yuccafall::commands
