// Runs a command line within a test.
#ifndef YUCCAFALL_COMMANDS_TESTS_RUN_COMMAND_LINE_HPP
#define YUCCAFALL_COMMANDS_TESTS_RUN_COMMAND_LINE_HPP

#include <sstream>
#include <string>
#include <vector>

#include "commands/command_line.hpp"

namespace yuccafall::commands::tests {

struct command_result
{
    exit_code code;
    std::string out;
    std::string err;
};

inline command_result run(std::vector<std::string> const& arguments)
{
    std::ostringstream out;
    std::ostringstream err;
    output_streams streams{out, err};
    auto const code = run_command_line(arguments, streams);
    return {code, out.str(), err.str()};
}

} // namespace yuccafall::commands::tests

#endif
