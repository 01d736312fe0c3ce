// Implements `check`, which validates the tables in a folder with the rules
// that every node applies.
#include <ostream>

#include <fmt/ostream.h>

#include "commands/commands.hpp"
#include "commands/flags.hpp"
#include "commands/table_folder.hpp"
#include "commands/table_json.hpp"
#include "tables/validation.hpp"

namespace yuccafall::commands {

namespace {

using validation_result =
    tl::expected<tables::tables, std::vector<tables::fault>>;

void print_json(validation_result const& it, terminal& to)
{
    auto object = nlohmann::json::object();
    object["valid"] = it.has_value();
    object["validator"] = tables::validator_version.value();
    object["faults"] = to_json(it ? std::vector<tables::fault>() : it.error());
    fmt::print(to.out, "{}\n", object.dump());
}

void print_text(validation_result const& it, terminal& to)
{
    if (it)
    {
        fmt::print(to.out, "valid: {} routes, {} pools\n", it->routes.size(),
                   it->pools.size());
        return;
    }
    for (auto const& fault : it.error())
    {
        fmt::print(to.out, "{}\n", tables::to_text(fault));
    }
}

} // namespace

exit_code run_check(positional const&, terminal& to)
{
    auto const texts = read_folder(FLAGS_tables);
    if (!texts)
    {
        fmt::print(to.err, "yuccafall: {}\n", texts.error().detail);
        return exit_code::unreadable_input;
    }
    auto const it = tables::read_tables(*texts);
    FLAGS_json ? print_json(it, to) : print_text(it, to);
    return it ? exit_code::success : exit_code::negative;
}

} // namespace yuccafall::commands
