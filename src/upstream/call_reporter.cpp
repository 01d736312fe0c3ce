// Writes the replies and log lines about the ends of calls.
#include "upstream/call_reporter.hpp"

#include <chrono>
#include <utility>

#include "core/log.hpp"

namespace yuccafall::upstream {

using core::error_kind;

call_reporter::call_reporter(admission::slot_queue const& queue,
                             worker_availability const& availability,
                             load_function load,
                             std::shared_ptr<counters> counters)
    : queue_(queue), availability_(availability), load_(std::move(load)),
      counters_(std::move(counters))
{}

void call_reporter::refuse(call_entry const& call, offer_refusal const& refusal,
                           bool reached_worker) const
{
    core::add(counters_->refused);
    if (refusal.kind == error_kind::evacuated)
    {
        core::add(counters_->evacuated);
    }
    // Refusing an offer that required a free slot is ordinary, since the call
    // goes on to another worker.
    auto const event_type = call.offer.has_alternative
                                ? core::request_event::ordinary
                                : core::request_event::exceptional;
    if (core::admit_request_line(event_type))
    {
        core::log_event(
            core::log_level::info, "call_refused",
            {{"request", call.offer.request_id.value()},
             {"upstream", call.offer.upstream.value()},
             {"kind", core::error_kind_info_for(refusal.kind).name},
             {"rank", call.offer.rank.value()},
             {"remaining_ms", call.offer.deadline_remaining.count()},
             {"running", queue_.running()},
             {"waiting", queue_.waiting()},
             {"slots", queue_.slots().value()},
             {"limited",
              std::holds_alternative<core::rate_limited>(queue_.stated_rate())},
             {"retry_after_ms", refusal.retry_after.count()}});
    }
    call.reply(peers::refused{call.offer.call, refusal.kind,
                              refusal.retry_after, reached_worker,
                              worker_leaves(call), load_()});
}

void call_reporter::report_response(call_entry const& call,
                                    http::response response,
                                    core::milliseconds run_time) const
{
    call.reply(peers::answered{call.offer.call, std::move(response), run_time,
                               worker_leaves(call), load_()});
}

void call_reporter::report_failure(call_entry const& call,
                                   worker_failed outcome) const
{
    core::add(counters_->failed);
    auto const kind = outcome.cause == http::failure_cause::timed_out
                          ? error_kind::deadline_passed
                          : error_kind::upstream_failed;
    if (core::admit_request_line(core::request_event::exceptional))
    {
        core::log_event(core::log_level::info, "run_failed",
                        {{"request", call.offer.request_id.value()},
                         {"upstream", call.offer.upstream.value()},
                         {"kind", core::error_kind_info_for(kind).name},
                         {"fault", outcome.fault ? to_string(*outcome.fault)
                                                 : std::string_view()},
                         {"reason", outcome.reason},
                         {"running", queue_.running()}});
    }
    call.reply(peers::failed{call.offer.call, kind, std::move(outcome.reason),
                             load_()});
}

void call_reporter::report_loss(call_entry const& call) const
{
    core::add(counters_->lost);
    if (!core::admit_request_line(core::request_event::exceptional))
    {
        return;
    }
    core::log_event(core::log_level::warning, "call_lost",
                    {{"request", call.offer.request_id.value()},
                     {"upstream", call.offer.upstream.value()},
                     {"ran_ms", std::chrono::duration_cast<core::milliseconds>(
                                    core::boot_clock::now() - call.started_at)
                                    .count()},
                     {"running", queue_.running()},
                     {"slots", queue_.slots().value()}});
}

bool call_reporter::worker_leaves(call_entry const& call) const
{
    return availability_.workers().has_stated_leaving(call.offer.upstream,
                                                      core::boot_clock::now());
}

} // namespace yuccafall::upstream
