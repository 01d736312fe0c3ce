// Implements `explain`, which prints the route of a request and the upstreams
// that could run it.
#include <ostream>

#include <fmt/ostream.h>

#include "commands/admin_client.hpp"
#include "commands/commands.hpp"

namespace yuccafall::commands {

namespace {

using json = nlohmann::json;

void print_upstream(std::string_view label, json const& it, std::ostream& out)
{
    fmt::print(
        out, "{} {}: service {}, data centre {}, slots {}\n", label,
        it.at("id").get<std::string>(), it.at("service").get<std::string>(),
        it.at("data_centre").get<std::string>(), plain_text(it.at("slots")));
}

exit_code print_response(json const& it, std::ostream& out)
{
    if (it.contains("error"))
    {
        fmt::print(out, "{}: {}\n", it.at("error").get<std::string>(),
                   it.at("reason").get<std::string>());
        return exit_code::negative_result;
    }
    for (auto const* key : {"route", "version", "kind", "timeout_ms", "aim_ms",
                            "rank", "attempts", "targets", "reason"})
    {
        fmt::print(out, "{}: {}\n", key, plain_text(it.at(key)));
    }
    for (auto const& upstream : array_at(it, "upstreams"))
    {
        print_upstream("upstream", upstream, out);
    }
    // A node of an older version does not state them.
    if (it.contains("evacuated_upstreams"))
    {
        for (auto const& upstream : array_at(it, "evacuated_upstreams"))
        {
            print_upstream("evacuated upstream", upstream, out);
        }
    }
    return exit_code::success;
}

} // namespace

exit_code run_explain(positional_arguments const& arguments,
                      output_streams& streams)
{
    return run_admin_request(
        {"/explain", {{"method", arguments[0]}, {"url", arguments[1]}}},
        print_response, streams);
}

} // namespace yuccafall::commands
