// Implements `diff`, which prints the rows that differ between the tables of
// two folders.
#include <ostream>

#include <fmt/ostream.h>

#include "commands/commands.hpp"
#include "commands/flags.hpp"
#include "commands/table_files.hpp"
#include "commands/table_json.hpp"
#include "tables/diff.hpp"
#include "tables/validation.hpp"

namespace yuccafall::commands {

namespace {

// Prints the reason to the error stream if the tables are missing or invalid.
tl::expected<tables::tables, exit_code>
read_valid_tables(std::string const& folder, output_streams& streams)
{
    auto const texts = read_table_files(folder);
    if (!texts)
    {
        fmt::print(streams.err, "yuccafall: {}\n", texts.error().detail);
        return tl::unexpected(exit_code::unreadable_input);
    }
    auto it = tables::read_tables(*texts);
    if (it)
    {
        return std::move(*it);
    }
    for (auto const& fault : it.error())
    {
        fmt::print(streams.err, "{}: {}\n", folder, tables::to_text(fault));
    }
    return tl::unexpected(exit_code::invalid_tables);
}

void print_changes(std::vector<tables::row_change> const& changes,
                   output_streams& streams)
{
    if (FLAGS_json)
    {
        auto object = nlohmann::json::object();
        object["changes"] = to_json(changes);
        fmt::print(streams.out, "{}\n", object.dump());
        return;
    }
    for (auto const& it : changes)
    {
        fmt::print(streams.out, "{}\n", tables::to_text(it));
    }
}

} // namespace

exit_code run_diff(positional_arguments const& arguments,
                   output_streams& streams)
{
    auto const before = read_valid_tables(arguments[0], streams);
    auto const after = read_valid_tables(arguments[1], streams);
    if (!before)
    {
        return before.error();
    }
    if (!after)
    {
        return after.error();
    }
    print_changes(tables::diff_tables(*before, *after), streams);
    return exit_code::success;
}

} // namespace yuccafall::commands
