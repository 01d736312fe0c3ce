// Dispatches to the commands, prints help and reports usage errors.
#include "commands/command_line.hpp"

#include <ostream>

#include <fmt/format.h>
#include <fmt/ostream.h>
#include <gflags/gflags.h>

#include "commands/flag_parser.hpp"

namespace yuccafall::commands {

namespace {

constexpr std::string_view program_name = "yuccafall";

exit_code report_usage_error(output_streams& streams, std::string_view message)
{
    fmt::print(streams.err, "{}: {}\n", program_name, message);
    return exit_code::usage;
}

bool is_help_flag(std::string_view argument)
{
    return argument == "--help" || argument == "-help" || argument == "-h";
}

bool has_help_flag(std::vector<std::string> const& arguments)
{
    for (auto const& it : arguments)
    {
        if (it == "--")
        {
            return false;
        }
        if (is_help_flag(it))
        {
            return true;
        }
    }
    return false;
}

exit_code print_command_list(output_streams& streams)
{
    fmt::print(streams.out, "usage: {} COMMAND [FLAGS] [ARGUMENTS]\n\n",
               program_name);
    for (auto const& it : all_commands())
    {
        fmt::print(streams.out, "  {:<9} {}\n", it.name, it.summary);
    }
    fmt::print(streams.out, "  {:<9} {}\n", "help", "explain a command");
    return exit_code::success;
}

exit_code print_command_help(command const& it, output_streams& streams)
{
    fmt::print(streams.out, "usage: {} {}\n\n{}\n", program_name, it.usage,
               it.summary);
    for (auto const& flag : it.flags)
    {
        gflags::CommandLineFlagInfo info;
        gflags::GetCommandLineFlagInfo(std::string(flag.name).c_str(), &info);
        fmt::print(streams.out, "  --{:<9} {}{}\n", flag.name, info.description,
                   flag.is_required ? " (required)" : "");
    }
    return exit_code::success;
}

exit_code report_unknown_command(std::string const& name,
                                 output_streams& streams)
{
    return report_usage_error(streams,
                              fmt::format("unknown command \"{}\"; \"{} help\" "
                                          "lists the commands",
                                          name, program_name));
}

exit_code run_help(std::vector<std::string> const& arguments,
                   output_streams& streams)
{
    if (arguments.size() < 2 || is_help_flag(arguments[1]))
    {
        return print_command_list(streams);
    }
    auto const* it = find_command(arguments[1]);
    return it == nullptr ? report_unknown_command(arguments[1], streams)
                         : print_command_help(*it, streams);
}

exit_code run_command(command const& it,
                      std::vector<std::string> const& arguments,
                      output_streams& streams)
{
    // The flags are global variables. The saver restores their defaults after
    // the command has run.
    gflags::FlagSaver const saver;
    auto const rest = parse_flags(it, arguments);
    if (!rest)
    {
        return report_usage_error(streams,
                                  fmt::format("{}: {}", it.name, rest.error()));
    }
    if (rest->size() != it.arguments.size())
    {
        return report_usage_error(
            streams,
            fmt::format("{}: {} arguments given, {} needed; usage: {} {}",
                        it.name, rest->size(), it.arguments.size(),
                        program_name, it.usage));
    }
    return it.run(*rest, streams);
}

} // namespace

exit_code run_command_line(std::vector<std::string> const& arguments,
                           output_streams& streams)
{
    if (arguments.empty())
    {
        return report_usage_error(streams,
                                  fmt::format("no command given; \"{} help\" "
                                              "lists the commands",
                                              program_name));
    }
    if (arguments[0] == "help" || is_help_flag(arguments[0]))
    {
        return run_help(arguments, streams);
    }
    auto const* it = find_command(arguments[0]);
    if (it == nullptr)
    {
        return report_unknown_command(arguments[0], streams);
    }
    std::vector<std::string> const rest(arguments.begin() + 1, arguments.end());
    return has_help_flag(rest) ? print_command_help(*it, streams)
                               : run_command(*it, rest, streams);
}

} // namespace yuccafall::commands
