// Defines what the command-line parser knows about each command.
#ifndef YUCCAFALL_COMMANDS_COMMAND_HPP
#define YUCCAFALL_COMMANDS_COMMAND_HPP

#include <iosfwd>
#include <string>
#include <string_view>
#include <vector>

#include "commands/exit_code.hpp"

namespace yuccafall::commands {

// Streams to which a command prints its output and its errors.
struct output_streams
{
    std::ostream& out;
    std::ostream& err;
};

// The arguments that are not flags. Flags are parsed before a command runs, and
// the command reads them from the variables of gflags.
using positional_arguments = std::vector<std::string>;

struct accepted_flag
{
    // Name of a flag that flags.cpp defines.
    std::string_view name;
    bool is_required = false;
};

struct command
{
    std::string_view name;
    // Line that describes the command in the list of commands.
    std::string_view summary;
    // Synopsis of the command without the program name.
    std::string_view usage;
    std::vector<accepted_flag> flags;
    // Names of the positional arguments. `run` must be called with exactly as
    // many arguments.
    std::vector<std::string_view> arguments;
    exit_code (*run)(positional_arguments const& arguments,
                     output_streams& streams);
};

// Returns the commands in the order in which help lists them.
std::vector<command> const& all_commands();

// Returns null if no command has the name.
command const* find_command(std::string_view name);

} // namespace yuccafall::commands

#endif
