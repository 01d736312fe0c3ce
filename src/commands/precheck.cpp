// Implements `precheck`, which checks an operator's configuration before it is
// sent to the store. It sends nothing.
#include <ostream>

#include <fmt/ostream.h>

#include "commands/commands.hpp"
#include "commands/flags.hpp"
#include "commands/table_files.hpp"
#include "platform/store_values.hpp"
#include "precheck/check_configuration.hpp"
#include "precheck/compare_configurations.hpp"

namespace yuccafall::commands {

namespace {

// Prints the reason to the error stream if the file cannot be read or nodes
// refuse the configuration.
tl::expected<routing::configuration, exit_code>
read_configuration(std::string const& path, output_streams& streams)
{
    auto const text = read_file(path, max_configuration_file_size);
    if (!text)
    {
        fmt::print(streams.err, "yuccafall: {}\n", text.error().detail);
        return tl::unexpected(exit_code::unreadable_input);
    }
    if (core::byte_count(text->size()) > max_configuration_file_size)
    {
        fmt::print(streams.err, "yuccafall: {} is larger than {} bytes\n", path,
                   max_configuration_file_size.value());
        return tl::unexpected(exit_code::unreadable_input);
    }
    auto it = platform::decode_configuration(*text);
    if (!it)
    {
        fmt::print(streams.err, "{}: {}\n", path, it.error().detail);
        return tl::unexpected(exit_code::invalid_tables);
    }
    return std::move(*it);
}

// Returns whether any of the differences is a fault. The others are what the
// operator intends to send.
bool print_differences(std::vector<precheck::difference> const& differences,
                       output_streams& streams)
{
    bool has_fault = false;
    for (auto const& it : differences)
    {
        fmt::print(streams.out, "{}\n", precheck::to_text(it));
        has_fault |= std::holds_alternative<precheck::version_not_higher>(it);
    }
    return has_fault;
}

} // namespace

exit_code run_precheck(positional_arguments const&, output_streams& streams)
{
    auto const proposed = read_configuration(FLAGS_configuration, streams);
    if (!proposed)
    {
        return proposed.error();
    }
    std::vector<precheck::difference> differences;
    if (!FLAGS_against.empty())
    {
        auto const in_force = read_configuration(FLAGS_against, streams);
        if (!in_force)
        {
            return in_force.error();
        }
        differences = precheck::compare_configurations(*in_force, *proposed);
    }
    auto const findings = precheck::check_configuration(*proposed);
    for (auto const& it : findings)
    {
        fmt::print(streams.out, "{}\n", precheck::to_text(it));
    }
    bool const has_fault = print_differences(differences, streams);
    return findings.empty() && !has_fault ? exit_code::success
                                          : exit_code::negative_result;
}

} // namespace yuccafall::commands
