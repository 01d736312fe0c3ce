// Implements `node`, which runs the process beside an upstream.
#include "node/run_node.hpp"

#include "commands/commands.hpp"
#include "commands/flags.hpp"

namespace yuccafall::commands {

exit_code run_node(positional_arguments const&, output_streams&)
{
    switch (node::run_node(FLAGS_settings))
    {
    case node::run_outcome::stopped:
        return exit_code::success;
    case node::run_outcome::settings_refused:
        return exit_code::invalid_settings;
    case node::run_outcome::start_failed:
        break;
    }
    return exit_code::start_failed;
}

} // namespace yuccafall::commands
