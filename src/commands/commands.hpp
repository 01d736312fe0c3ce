// Declares the functions that run the commands.
#ifndef YUCCAFALL_COMMANDS_COMMANDS_HPP
#define YUCCAFALL_COMMANDS_COMMANDS_HPP

#include "commands/command.hpp"

namespace yuccafall::commands {

exit_code run_check(positional const& arguments, terminal& to);
exit_code run_diff(positional const& arguments, terminal& to);
exit_code run_node(positional const& arguments, terminal& to);
exit_code run_where(positional const& arguments, terminal& to);
exit_code run_explain(positional const& arguments, terminal& to);
exit_code run_status(positional const& arguments, terminal& to);
exit_code run_trace(positional const& arguments, terminal& to);
exit_code run_version(positional const& arguments, terminal& to);

} // namespace yuccafall::commands

#endif
