// Implements `check`, which validates the tables in a folder with the rules
// that every node applies.
#include <ostream>

#include <fmt/ostream.h>

#include "commands/commands.hpp"
#include "commands/flags.hpp"
#include "commands/table_files.hpp"
#include "commands/table_json.hpp"
#include "tables/validation.hpp"

namespace yuccafall::commands {

namespace {

using validation_result =
    tl::expected<tables::tables, std::vector<tables::fault>>;

void print_json(validation_result const& it, output_streams& streams)
{
    auto object = nlohmann::json::object();
    object["valid"] = it.has_value();
    object["validator"] = tables::validator_version.value();
    object["faults"] = to_json(it ? std::vector<tables::fault>() : it.error());
    fmt::print(streams.out, "{}\n", object.dump());
}

void print_text(validation_result const& it, output_streams& streams)
{
    if (it)
    {
        fmt::print(streams.out, "valid: {} routes, {} pools\n",
                   it->routes.size(), it->pools.size());
        return;
    }
    for (auto const& fault : it.error())
    {
        fmt::print(streams.out, "{}\n", tables::to_text(fault));
    }
}

} // namespace

exit_code run_check(positional_arguments const&, output_streams& streams)
{
    auto const texts = read_table_files(FLAGS_tables);
    if (!texts)
    {
        fmt::print(streams.err, "yuccafall: {}\n", texts.error().detail);
        return exit_code::unreadable_input;
    }
    auto const it = tables::read_tables(*texts);
    FLAGS_json ? print_json(it, streams) : print_text(it, streams);
    return it ? exit_code::success : exit_code::negative_result;
}

} // namespace yuccafall::commands
