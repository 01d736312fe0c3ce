// Encodes faults and changes of tables as JSON.
#include "commands/table_json.hpp"

#include "core/overloaded.hpp"

namespace yuccafall::commands {

namespace {

using json = nlohmann::json;

json json_string(std::string_view it)
{
    return json(std::string(it));
}

template <class Item, class Encode>
json json_array(std::vector<Item> const& items, Encode encode)
{
    auto array = json::array();
    for (auto const& it : items)
    {
        array.push_back(encode(it));
    }
    return array;
}

json fault_to_json(tables::fault const& it)
{
    auto object = json::object();
    object["table"] = json_string(tables::to_string(it.table));
    object["row"] = json_string(tables::to_string(it.row));
    object["line"] = it.line.value();
    object["column"] = json_string(it.column.value());
    object["message"] = json_string(it.message);
    return object;
}

// Encodes the cells of a row that exists only before or only after the change.
// The key of the cell values is "before" or "after" accordingly.
json cells_to_json(tables::row const& row, std::string const& key)
{
    auto const cells =
        std::visit([](auto const& it) { return tables::cells_of(it); }, row);
    return json_array(cells, [&](tables::cell_text const& it) {
        auto object = json::object();
        object["column"] = json_string(it.column.value());
        object[key] = json_string(it.value);
        return object;
    });
}

json cell_change_to_json(tables::cell_change const& it)
{
    auto object = json::object();
    object["column"] = json_string(it.column.value());
    object["before"] = json_string(it.before);
    object["after"] = json_string(it.after);
    return object;
}

json row_change_to_json(tables::row_change const& it)
{
    auto object = json::object();
    object["table"] = json_string(tables::to_string(tables::table_of(it)));
    object["row"] = json_string(tables::name_of(it).value());
    std::visit(core::overloaded{
                   [&](tables::row_added const& change) {
                       object["change"] = json_string("added");
                       object["cells"] = cells_to_json(change.after, "after");
                   },
                   [&](tables::row_removed const& change) {
                       object["change"] = json_string("removed");
                       object["cells"] = cells_to_json(change.before, "before");
                   },
                   [&](tables::row_changed const& change) {
                       object["change"] = json_string("changed");
                       object["cells"] =
                           json_array(change.cells, cell_change_to_json);
                   }},
               it);
    return object;
}

} // namespace

json to_json(std::vector<tables::fault> const& faults)
{
    return json_array(faults, fault_to_json);
}

json to_json(std::vector<tables::row_change> const& changes)
{
    return json_array(changes, row_change_to_json);
}

} // namespace yuccafall::commands
