// Implements `precheck`, which checks an operator's configuration before it is
// sent to the store. It sends nothing.
#include <algorithm>
#include <ostream>

#include <fmt/ostream.h>

#include "commands/admin_client.hpp"
#include "commands/commands.hpp"
#include "commands/flags.hpp"
#include "commands/precheck_json.hpp"
#include "commands/table_files.hpp"
#include "platform/store_values.hpp"
#include "precheck/check_configuration.hpp"
#include "precheck/compare_configurations.hpp"

namespace yuccafall::commands {

namespace {

using read_result = tl::expected<routing::configuration, exit_code>;

// Prints the reason to the error stream if nodes refuse the configuration.
// `source` names where the text is from.
read_result decode(std::string const& text, std::string const& source,
                   output_streams& streams)
{
    auto it = platform::decode_configuration(text);
    if (!it)
    {
        fmt::print(streams.err, "{}: {}\n", source, it.error().detail);
        return tl::unexpected(exit_code::invalid_tables);
    }
    return std::move(*it);
}

// Prints the reason to the error stream if the file cannot be read or nodes
// refuse the configuration.
read_result read_configuration(std::string const& path, output_streams& streams)
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
    return decode(*text, path, streams);
}

// Asks the node for the configuration in force there.
read_result request_configuration(std::string const& node,
                                  output_streams& streams)
{
    auto const response = send_admin_request(node, {"/configuration", {}});
    if (!response)
    {
        fmt::print(streams.err, "yuccafall: {}\n", response.error().detail);
        return tl::unexpected(response.error().kind ==
                                      core::error_kind::bad_request
                                  ? exit_code::usage
                                  : exit_code::unavailable);
    }
    auto const reason = response->json.find("reason");
    if (response->json.contains("error"))
    {
        fmt::print(streams.err, "yuccafall: node {}: {}\n", node,
                   reason == response->json.end() ? "no configuration"
                                                  : plain_text(*reason));
        return tl::unexpected(exit_code::unavailable);
    }
    auto it = decode(response->body, "node " + node, streams);
    // The exit code for refused configurations is about the operator's file.
    return it ? std::move(it)
              : read_result(tl::unexpected(exit_code::unavailable));
}

void print_text(std::vector<precheck::finding> const& findings,
                std::vector<precheck::difference> const& differences,
                std::ostream& out)
{
    for (auto const& it : findings)
    {
        fmt::print(out, "{}\n", precheck::to_text(it));
    }
    for (auto const& it : differences)
    {
        fmt::print(out, "{}\n", precheck::to_text(it));
    }
}

// Returns whether any of the differences is a fault. The others are what the
// operator intends to send.
bool has_fault(std::vector<precheck::difference> const& differences)
{
    return std::any_of(
        differences.begin(), differences.end(), [](auto const& it) {
            return std::holds_alternative<precheck::version_not_higher>(it);
        });
}

} // namespace

exit_code run_precheck(positional_arguments const&, output_streams& streams)
{
    if (!FLAGS_against.empty() && !FLAGS_node.empty())
    {
        fmt::print(streams.err,
                   "yuccafall: --against and --node exclude each other\n");
        return exit_code::usage;
    }
    auto const proposed = read_configuration(FLAGS_configuration, streams);
    if (!proposed)
    {
        return proposed.error();
    }
    std::vector<precheck::difference> differences;
    if (!FLAGS_against.empty() || !FLAGS_node.empty())
    {
        auto const in_force = FLAGS_node.empty()
                                  ? read_configuration(FLAGS_against, streams)
                                  : request_configuration(FLAGS_node, streams);
        if (!in_force)
        {
            return in_force.error();
        }
        differences = precheck::compare_configurations(*in_force, *proposed);
    }
    auto const findings = precheck::check_configuration(*proposed);
    if (FLAGS_json)
    {
        nlohmann::json const object{{"findings", to_json(findings)},
                                    {"differences", to_json(differences)}};
        fmt::print(streams.out, "{}\n", object.dump());
    }
    else
    {
        print_text(findings, differences, streams.out);
    }
    return findings.empty() && !has_fault(differences)
               ? exit_code::success
               : exit_code::negative_result;
}

} // namespace yuccafall::commands
