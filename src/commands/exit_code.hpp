// Defines the exit codes that all commands share.
#ifndef YUCCAFALL_COMMANDS_EXIT_CODE_HPP
#define YUCCAFALL_COMMANDS_EXIT_CODE_HPP

namespace yuccafall::commands {

// The codes from 64 are those of sysexits.h.
enum class exit_code
{
    success = 0,
    // `check` found faults, `precheck` has findings, `explain` found no route,
    // or `trace` found no log line.
    negative_result = 1,
    // `diff` was given invalid tables, or `precheck` a configuration that nodes
    // refuse.
    invalid_tables = 2,
    // `where` found VMs on which the revision is not in force.
    rollout_incomplete = 3,
    usage = 64,
    unreadable_input = 66,
    // The node did not respond, its response was not as expected, or it cannot
    // say which configuration is in force.
    unavailable = 69,
    // The node could not bind one of its ports.
    start_failed = 71,
    invalid_settings = 78,
};

} // namespace yuccafall::commands

#endif
