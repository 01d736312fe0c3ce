// Implements `status`, which prints the state of one node.
#include <ostream>

#include <fmt/ostream.h>

#include "commands/admin_client.hpp"
#include "commands/commands.hpp"

namespace yuccafall::commands {

namespace {

exit_code print_response(nlohmann::json const& it, std::ostream& out)
{
    for (auto const& [key, value] : it.items())
    {
        fmt::print(out, "{}: {}\n", key, plain_text(value));
    }
    return exit_code::success;
}

} // namespace

exit_code run_status(positional_arguments const&, output_streams& streams)
{
    return run_admin_request({"/status", {}}, print_response, streams);
}

} // namespace yuccafall::commands
