// Implements `where`, which prints on how many VMs of each data centre a
// revision is in force.
#include <ostream>

#include <fmt/ostream.h>

#include "commands/admin_client.hpp"
#include "commands/commands.hpp"
#include "commands/flags.hpp"

namespace yuccafall::commands {

namespace {

using json = nlohmann::json;

void print_data_centre(json const& it, std::ostream& out)
{
    // The VMs that refused the revision are also counted as behind.
    fmt::print(out, "{}: in force {}, behind {} (refused {}), unknown {}\n",
               it.at("name").get<std::string>(), plain_text(it.at("in_force")),
               plain_text(it.at("behind")), plain_text(it.at("refused")),
               plain_text(it.at("unknown")));
    for (auto const& name : array_at(it, "laggards"))
    {
        fmt::print(out, "  laggard {}\n", name.get<std::string>());
    }
}

// The nodes that have not seen the evacuation are listed, also those that did
// not respond.
void print_evacuation(json const& it, std::ostream& out)
{
    fmt::print(out, "evacuated {}: seen {}, not seen {}, unknown {}\n",
               it.at("data_centre").get<std::string>(),
               plain_text(it.at("seen")), plain_text(it.at("not_seen")),
               plain_text(it.at("unknown")));
    for (auto const& name : array_at(it, "laggards"))
    {
        fmt::print(out, "  laggard {}\n", name.get<std::string>());
    }
}

exit_code print_response(json const& it, std::ostream& out)
{
    bool const is_complete = it.at("complete").get<bool>();
    fmt::print(out, "revision {}: {}\n", plain_text(it.at("revision")),
               is_complete ? "in force everywhere" : "not in force everywhere");
    for (auto const& data_centre : array_at(it, "data_centres"))
    {
        print_data_centre(data_centre, out);
    }
    // A node of an older version does not state evacuations.
    if (it.contains("evacuations"))
    {
        for (auto const& evacuation : array_at(it, "evacuations"))
        {
            print_evacuation(evacuation, out);
        }
    }
    return is_complete ? exit_code::success : exit_code::rollout_incomplete;
}

} // namespace

exit_code run_where(positional_arguments const&, output_streams& streams)
{
    admin_request request{"/where", {}};
    if (FLAGS_revision > 0)
    {
        request.parameters.emplace_back("revision",
                                        std::to_string(FLAGS_revision));
    }
    return run_admin_request(request, print_response, streams);
}

} // namespace yuccafall::commands
