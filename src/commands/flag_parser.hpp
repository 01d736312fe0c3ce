// Parses the flags of one command and sets their gflags variables.
//
// The parser of gflags is not used, because it exits the process with code 1 on
// an error and accepts the flags of all commands. gflags only registers the
// flags and parses their values.
#ifndef YUCCAFALL_COMMANDS_FLAG_PARSER_HPP
#define YUCCAFALL_COMMANDS_FLAG_PARSER_HPP

#include <string>
#include <vector>

#include <tl/expected.hpp>

#include "commands/command.hpp"

namespace yuccafall::commands {

// Returns the arguments that are not flags, or an error message of one line. A
// flag is written as --name=value, as --name value or, if it is a boolean, as
// --name. A single dash is accepted as well. Arguments after "--" are not
// flags.
tl::expected<positional_arguments, std::string>
parse_flags(command const& it, std::vector<std::string> const& arguments);

} // namespace yuccafall::commands

#endif
