// Declares the functions that run the commands.
#ifndef YUCCAFALL_COMMANDS_COMMANDS_HPP
#define YUCCAFALL_COMMANDS_COMMANDS_HPP

#include "commands/command.hpp"

namespace yuccafall::commands {

exit_code run_check(positional_arguments const& arguments,
                    output_streams& streams);
exit_code run_diff(positional_arguments const& arguments,
                   output_streams& streams);
exit_code run_precheck(positional_arguments const& arguments,
                       output_streams& streams);
exit_code run_node(positional_arguments const& arguments,
                   output_streams& streams);
exit_code run_where(positional_arguments const& arguments,
                    output_streams& streams);
exit_code run_explain(positional_arguments const& arguments,
                      output_streams& streams);
exit_code run_status(positional_arguments const& arguments,
                     output_streams& streams);
exit_code run_trace(positional_arguments const& arguments,
                    output_streams& streams);
exit_code run_version(positional_arguments const& arguments,
                      output_streams& streams);

} // namespace yuccafall::commands

#endif
