// Implements `trace`, which prints the log lines of all nodes about one
// request.
#include <fstream>
#include <iostream>
#include <ostream>

#include <boost/algorithm/string/classification.hpp>
#include <boost/algorithm/string/split.hpp>
#include <fmt/ostream.h>
#include <nlohmann/json.hpp>

#include "commands/commands.hpp"
#include "commands/flags.hpp"
#include "trace/request_trace.hpp"

namespace yuccafall::commands {

namespace {

// Passes the log lines of the input to the builder. A line that states no
// source gets the given one.
void add_log_lines(std::istream& input, std::string const& default_source,
                   trace::request_trace_builder& builder)
{
    std::string text;
    while (std::getline(input, text))
    {
        auto it = trace::parse_log_line(text);
        if (!it)
        {
            continue;
        }
        if (it->source.empty())
        {
            it->source = default_source;
        }
        builder.add(std::move(*it));
    }
}

void print_text(trace::request_trace const& it, std::ostream& out)
{
    auto const start = it.lines.front().since_epoch;
    for (auto const& line : it.lines)
    {
        fmt::print(out, "{:+8} ms  {}  {}", (line.since_epoch - start).count(),
                   line.source, line.event);
        for (auto const& [key, value] : line.fields)
        {
            fmt::print(out, " {}={}", key, value);
        }
        fmt::print(out, "\n");
    }
    fmt::print(out, "{}\n", it.conclusion);
}

void print_json(trace::request_trace const& it, std::ostream& out)
{
    auto lines = nlohmann::json::array();
    for (auto const& line : it.lines)
    {
        lines.push_back({{"time_ms", line.since_epoch.count()},
                         {"source", line.source},
                         {"event", line.event},
                         {"fields", line.fields}});
    }
    fmt::print(
        out, "{}\n",
        nlohmann::json{{"lines", lines}, {"conclusion", it.conclusion}}.dump(
            -1, ' ', false, nlohmann::json::error_handler_t::replace));
}

} // namespace

exit_code run_trace(positional_arguments const& arguments,
                    output_streams& streams)
{
    trace::request_trace_builder builder{core::request_id(arguments[0])};
    std::vector<std::string> paths;
    if (!FLAGS_logs.empty())
    {
        boost::split(paths, FLAGS_logs, boost::is_any_of(","));
    }
    for (auto const& path : paths)
    {
        std::ifstream file(path);
        if (!file)
        {
            fmt::print(streams.err, "yuccafall: cannot read \"{}\"\n", path);
            return exit_code::unreadable_input;
        }
        add_log_lines(file, path, builder);
    }
    if (paths.empty())
    {
        add_log_lines(std::cin, "stdin", builder);
    }
    auto const it = builder.build();
    if (it.lines.empty())
    {
        fmt::print(streams.err,
                   "yuccafall: no log line names the request \"{}\"\n",
                   arguments[0]);
        return exit_code::negative_result;
    }
    FLAGS_json ? print_json(it, streams.out) : print_text(it, streams.out);
    return exit_code::success;
}

} // namespace yuccafall::commands
