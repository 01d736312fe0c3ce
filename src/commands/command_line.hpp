// Runs the command that the first argument of the process names.
#ifndef YUCCAFALL_COMMANDS_COMMAND_LINE_HPP
#define YUCCAFALL_COMMANDS_COMMAND_LINE_HPP

#include <string>
#include <vector>

#include "commands/command.hpp"

namespace yuccafall::commands {

// The arguments do not include the program name. A usage error prints one line
// to the error stream.
exit_code run_command_line(std::vector<std::string> const& arguments,
                           output_streams& streams);

} // namespace yuccafall::commands

#endif
