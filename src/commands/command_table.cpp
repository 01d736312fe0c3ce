// Lists the commands. A new command needs a function in its own file, a
// declaration in commands.hpp and an entry in this table.
#include "commands/command.hpp"

#include <algorithm>

#include "commands/commands.hpp"

namespace yuccafall::commands {

std::vector<command> const& all_commands()
{
    static std::vector<command> const table{
        {"check",
         "validate the tables in a folder and list every fault",
         "check --tables=DIR [--json]",
         {{"tables", true}, {"json"}},
         {},
         run_check},
        {"diff",
         "show which rows differ between two folders",
         "diff OLD NEW [--json]",
         {{"json"}},
         {"OLD", "NEW"},
         run_diff},
        {"precheck",
         "check a configuration before it is sent to the store",
         "precheck --configuration=FILE [--against=FILE | --node=IP:PORT] "
         "[--json]",
         {{"configuration", true}, {"against"}, {"node"}, {"json"}},
         {},
         run_precheck},
        {"node",
         "run the node beside an upstream until SIGTERM",
         "node --settings=FILE",
         {{"settings", true}},
         {},
         run_node},
        {"where",
         "show where a revision is in force",
         "where --node=IP:PORT [--revision=N] [--json]",
         {{"node", true}, {"revision"}, {"json"}},
         {},
         run_where},
        {"explain",
         "show which route and upstreams a request gets, and why",
         "explain --node=IP:PORT METHOD URL [--json]",
         {{"node", true}, {"json"}},
         {"METHOD", "URL"},
         run_explain},
        {"status",
         "show the state of one node",
         "status --node=IP:PORT [--json]",
         {{"node", true}, {"json"}},
         {},
         run_status},
        {"trace",
         "show the log lines of all nodes about one request",
         "trace [--logs=FILE,FILE] REQUEST [--json]",
         {{"logs"}, {"json"}},
         {"REQUEST"},
         run_trace},
        {"version", "show the version", "version", {}, {}, run_version},
    };
    return table;
}

command const* find_command(std::string_view name)
{
    auto const& table = all_commands();
    auto const it =
        std::find_if(table.begin(), table.end(),
                     [&](command const& entry) { return entry.name == name; });
    return it == table.end() ? nullptr : &*it;
}

} // namespace yuccafall::commands
