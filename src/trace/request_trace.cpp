// Selects the log lines that concern a request and derives a conclusion from
// the line that ends its call.
#include "trace/request_trace.hpp"

#include <algorithm>
#include <array>
#include <iterator>
#include <set>

#include <fmt/format.h>

namespace yuccafall::trace {

namespace {

// Events that do not name a request but can explain what happened to one.
constexpr std::array<std::string_view, 18> state_change_events{
    "node_started",          "drain_started",      "drain_ended",
    "node_stopped",          "store_lost",         "store_regained",
    "worker_listed",         "worker_removed",     "worker_unreachable",
    "worker_crashed",        "request_poisoned",   "peer_lost",
    "peer_unresponsive",     "control_link_lost",  "configuration_applied",
    "configuration_refused", "evacuation_changed", "settings_read"};

struct error_explanation
{
    std::string_view kind;
    std::string_view text;
};

// Explains the kinds of errors with which a node ends the call of its caller.
constexpr std::array<error_explanation, 16> error_explanations{{
    {"no_route", "no route of the configuration in force matches"},
    {"not_ready", "the node had no configuration yet; the call did not run"},
    {"no_upstream",
     "no worker of the service was listed and reachable; the call did not run"},
    {"overloaded", "every node to which the call was offered would have "
                   "responded too late; the call did "
                   "not run"},
    {"leaving", "the worker or the node was draining; the call did not run"},
    {"evacuated",
     "the data centre of the worker is evacuated; the call did not run"},
    {"expired",
     "too little time was left before the deadline; the call did not run"},
    {"upstream_rejected", "the worker rejected the call; the call did not run"},
    {"wrong_upstream",
     "the address belonged to another worker; the call did not run"},
    {"poisoned", "the request has crashed workers, and every node refuses it"},
    {"upstream_failed",
     "the call was sent to a worker and no valid response came back; whether "
     "the call ran is not known"},
    {"truncated_answer",
     "the worker's response ended early; the call may have run"},
    {"bad_frame", "the response could not be parsed; the call may have run"},
    {"deadline_passed",
     "no response came before the deadline; the call may have run"},
    {"platform_unavailable",
     "the platform's store could not be read; the call did not run"},
    {"io", "a connection failed; the call may have run"},
}};

bool is_state_change(std::string_view event)
{
    return std::find(state_change_events.begin(), state_change_events.end(),
                     event) != state_change_events.end();
}

std::string value_of(log_line const& it, std::string_view name)
{
    auto const* value = it.field(name);
    return value == nullptr ? std::string("?") : *value;
}

std::string conclusion_from(log_line const& last)
{
    if (last.event == "call_answered")
    {
        return fmt::format("answered with status {} by {} after {} ms, {} ms "
                           "of them in a slot",
                           value_of(last, "status"), value_of(last, "upstream"),
                           value_of(last, "took_ms"), value_of(last, "ran_ms"));
    }
    if (last.event == "caller_left")
    {
        return fmt::format(
            "the caller disconnected after {} ms, before it got a response",
            value_of(last, "took_ms"));
    }
    if (last.event == "refused_at_first_node")
    {
        return fmt::format("overloaded: by load reports, the queue of every "
                           "worker would have refused the call; it did not "
                           "run; {}, shortest wait {} ms",
                           value_of(last, "reason"), value_of(last, "wait_ms"));
    }
    auto const kind = value_of(last, "kind");
    auto const found = std::find_if(
        error_explanations.begin(), error_explanations.end(),
        [&](error_explanation const& it) { return it.kind == kind; });
    auto const explanation = found == error_explanations.end()
                                 ? std::string_view("see the lines above")
                                 : found->text;
    auto const reason = value_of(last, "reason");
    return fmt::format("{}: {}{}{}", kind, explanation,
                       reason.empty() || reason == "?" ? "" : "; ",
                       reason == "?" ? "" : reason);
}

bool ends_call(log_line const& it)
{
    return it.event == "call_answered" || it.event == "call_ended" ||
           it.event == "caller_left" || it.event == "refused_at_first_node";
}

// Returns the upstreams that the lines of the request name.
std::set<std::string> upstreams_in(std::vector<log_line> const& lines)
{
    std::set<std::string> out;
    for (auto const& it : lines)
    {
        for (auto const* name : {"upstream", "from"})
        {
            if (auto const* id = it.field(name))
            {
                out.insert(*id);
            }
        }
    }
    return out;
}

bool is_earlier(log_line const& a, log_line const& b)
{
    return a.since_epoch < b.since_epoch;
}

} // namespace

void request_trace_builder::add(log_line it)
{
    auto const* request = it.field("request");
    if (request != nullptr && *request == request_id_.value())
    {
        request_lines_.push_back(std::move(it));
        return;
    }
    if (is_state_change(it.event))
    {
        state_change_lines_.push_back(std::move(it));
    }
}

request_trace request_trace_builder::build() const
{
    request_trace out;
    if (request_lines_.empty())
    {
        return out;
    }
    out.lines = request_lines_;
    std::stable_sort(out.lines.begin(), out.lines.end(), is_earlier);
    auto const last_end =
        std::find_if(out.lines.rbegin(), out.lines.rend(), ends_call);
    out.conclusion =
        last_end == out.lines.rend()
            ? "no log line says how the call ended: the call was not sampled, "
              "the rate limit suppressed its lines, or the caller's node "
              "stopped before it wrote one"
            : conclusion_from(*last_end);
    auto const from = out.lines.front().since_epoch - context_window;
    auto const until = out.lines.back().since_epoch + context_window;
    auto const upstreams = upstreams_in(request_lines_);
    auto const concerns_request = [&](log_line const& it) {
        return it.field("upstream") == nullptr ||
               upstreams.count(*it.field("upstream")) != 0;
    };
    std::set<std::string> nodes;
    for (auto const& it : request_lines_)
    {
        nodes.insert(it.source);
    }
    std::copy_if(state_change_lines_.begin(), state_change_lines_.end(),
                 std::back_inserter(out.lines), [&](log_line const& it) {
                     return it.since_epoch >= from && it.since_epoch <= until &&
                            nodes.count(it.source) != 0 && concerns_request(it);
                 });
    std::stable_sort(out.lines.begin(), out.lines.end(), is_earlier);
    return out;
}

} // namespace yuccafall::trace
