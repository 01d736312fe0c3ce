// Implements `status`, which prints the state of one node.
#include <ostream>

#include <fmt/ostream.h>

#include "commands/admin_client.hpp"
#include "commands/commands.hpp"

namespace yuccafall::commands {

namespace {

exit_code print_answer(nlohmann::json const& it, std::ostream& out)
{
    for (auto const& [key, value] : it.items())
    {
        fmt::print(out, "{}: {}\n", key, plain_text(value));
    }
    return exit_code::success;
}

} // namespace

exit_code run_status(positional const&, terminal& to)
{
    return run_query({"/status", {}}, print_answer, to);
}

} // namespace yuccafall::commands
