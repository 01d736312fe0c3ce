// Implements `version`, which prints the versions of the program and of its
// table validator.
#include <ostream>

#include <fmt/ostream.h>

#include "commands/commands.hpp"
#include "tables/validation.hpp"

namespace yuccafall::commands {

exit_code run_version(positional_arguments const&, output_streams& streams)
{
    fmt::print(streams.out, "yuccafall {}, validator {}\n", YUCCAFALL_VERSION,
               tables::validator_version.value());
    return exit_code::success;
}

} // namespace yuccafall::commands
