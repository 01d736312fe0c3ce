// Collects the fields of the log lines about calls.
#include "ingress/call_log.hpp"

#include <algorithm>
#include <chrono>
#include <string>

#include "core/log.hpp"

namespace yuccafall::ingress {

namespace {

core::milliseconds time_since(core::instant start, core::instant now)
{
    return std::max(std::chrono::duration_cast<core::milliseconds>(now - start),
                    core::milliseconds(0));
}

std::string id_of(balancing::upstream const* it)
{
    return it == nullptr ? "" : it->id.value();
}

} // namespace

void log_first_node_refusal(call_terms const& terms,
                            attempt_history const& history,
                            admission::first_node_refused const& why)
{
    if (!core::admit_request_line(core::request_event::exceptional))
    {
        return;
    }
    core::log_event(core::log_level::info, "refused_at_first_node",
                    {{"request", terms.request_id.value()},
                     {"route", terms.route->name.value()},
                     {"rank", terms.route->rank.value()},
                     {"reason", admission::name_of(why.reason)},
                     {"wait_ms", why.wait.count()},
                     {"report_age_ms", why.report_age.count()},
                     {"redirects", history.redirects()},
                     {"retry_after_ms", why.retry_after.count()}});
}

void log_move(call_terms const& terms, attempt_history const& history,
              balancing::upstream const& from, bool uses_retry_budget)
{
    if (!core::admit_request_line(core::request_event::exceptional))
    {
        return;
    }
    core::log_event(core::log_level::info, "call_moved",
                    {{"request", terms.request_id.value()},
                     {"route", terms.route->name.value()},
                     {"from", from.id.value()},
                     {"counts", uses_retry_budget},
                     {"redirects", history.redirects()},
                     {"workers_reached", history.workers_reached()}});
}

void log_disconnect(call_terms const& terms,
                    balancing::upstream const* upstream, bool attempt_open,
                    core::instant now)
{
    if (!core::admit_request_line(core::request_event::exceptional))
    {
        return;
    }
    core::log_event(core::log_level::info, "caller_left",
                    {{"request", terms.request_id.value()},
                     {"route", terms.route->name.value()},
                     {"upstream", id_of(upstream)},
                     {"attempt_open", attempt_open},
                     {"took_ms", time_since(terms.arrived_at, now).count()}});
}

void log_response(call_terms const& terms, attempt_history const& history,
                  balancing::upstream const& upstream,
                  response_summary const& response)
{
    if (!core::admit_request_line(core::request_event::ordinary))
    {
        return;
    }
    core::log_event(core::log_level::info, "call_answered",
                    {{"request", terms.request_id.value()},
                     {"route", terms.route->name.value()},
                     {"upstream", upstream.id.value()},
                     {"status", response.status},
                     {"took_ms", response.took.count()},
                     {"ran_ms", response.ran.count()},
                     {"offers_for_free_slot", history.offers_for_free_slot()},
                     {"redirects", history.redirects()}});
}

void log_invalid_response(call_terms const& terms,
                          balancing::upstream const& upstream,
                          http::invalid_response const& why)
{
    if (!core::admit_request_line(core::request_event::exceptional))
    {
        return;
    }
    core::log_event(core::log_level::warning, "peer_response_invalid",
                    {{"request", terms.request_id.value()},
                     {"upstream", upstream.id.value()},
                     {"fault", to_string(why.fault)},
                     {"reason", why.detail}});
}

void log_error(call_terms const& terms, attempt_history const& history,
               balancing::upstream const* upstream, traffic_view const* view,
               core::error const& why, core::milliseconds retry_after,
               core::instant now)
{
    if (!core::admit_request_line(core::request_event::exceptional))
    {
        return;
    }
    core::log_event(
        core::log_level::info, "call_ended",
        {{"request", terms.request_id.value()},
         {"kind", core::error_kind_info_for(why.kind).name},
         {"route", terms.route == nullptr ? "" : terms.route->name.value()},
         {"upstream", id_of(upstream)},
         {"nested", terms.nested},
         {"workers_reached", history.workers_reached()},
         {"redirects", history.redirects()},
         {"took_ms", time_since(terms.arrived_at, now).count()},
         {"version", view != nullptr && view->routes
                         ? view->routes->source_configuration().version.value()
                         : 0},
         {"retry_after_ms", retry_after.count()},
         {"reason", why.detail}});
}

} // namespace yuccafall::ingress
