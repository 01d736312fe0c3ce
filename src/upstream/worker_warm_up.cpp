// Carries out the actions of the warm-up monitor.
#include "upstream/worker_warm_up.hpp"

#include <algorithm>
#include <utility>

#include "core/log.hpp"
#include "core/overloaded.hpp"

namespace yuccafall::upstream {

namespace {

// Returns the worker that started last, or null if the list is empty. The
// others are about to end.
listed_worker const* newest(std::vector<listed_worker> const& workers)
{
    auto const found = std::max_element(
        workers.begin(), workers.end(),
        [](auto const& a, auto const& b) { return a.started < b.started; });
    return found == workers.end() ? nullptr : &*found;
}

std::optional<core::instant> end_of(admission::warm_up_state const& it)
{
    auto const* cold = std::get_if<admission::cold_until>(&it);
    return cold == nullptr ? std::nullopt : std::optional(cold->end);
}

} // namespace

worker_warm_up::worker_warm_up(boost::asio::io_context& context,
                               std::shared_ptr<worker_client> client,
                               std::shared_ptr<counters> counters,
                               rate_handler on_rate_changed)
    : timer_(context), client_(std::move(client)),
      counters_(std::move(counters)),
      on_rate_changed_(std::move(on_rate_changed))
{}

void worker_warm_up::set_service(routing::service const& it)
{
    health_path_ = it.health_path;
    handle_event(
        admission::service_configured{it.warm_up, !it.health_path.empty()});
}

void worker_warm_up::set_workers(std::vector<listed_worker> const& workers)
{
    if (auto const* it = newest(workers))
    {
        handle_event(admission::worker_listed{it->started, it->cold_remaining});
    }
    bool const evacuation_ended =
        std::any_of(workers.begin(), workers.end(), [&](auto const& it) {
            return !it.evacuated && evacuated_.count(it.id) != 0;
        });
    evacuated_.clear();
    for (auto const& it : workers)
    {
        if (it.evacuated)
        {
            evacuated_.insert(it.id);
        }
    }
    if (evacuation_ended)
    {
        record_doubt(admission::warm_up_source::evacuation_ended);
    }
}

void worker_warm_up::record_offer(
    std::optional<core::warm_up_limits> const& offered_limits)
{
    if (offered_limits)
    {
        handle_event(admission::limits_offered{*offered_limits});
    }
    // A worker that has crashed while it was idle shows by its connections.
    if (!std::holds_alternative<admission::cold_rate_absent>(
            monitor_.state()) &&
        client_->discard_lost_idle_connections())
    {
        record_doubt(admission::warm_up_source::connection_lost);
    }
    handle_event(admission::call_arrived{});
}

void worker_warm_up::set_calls_wait(bool calls_wait)
{
    calls_wait_ = calls_wait;
    if (calls_wait)
    {
        handle_event(admission::calls_wait{});
    }
}

void worker_warm_up::record_outcome(worker_outcome const& it,
                                    core::route_name const& route,
                                    core::duration run_time, bool canceled)
{
    using admission::warm_up_source;
    std::visit(core::overloaded{
                   [&](worker_answered const& o) {
                       record_answered_run({route, run_time, o.metadata.load});
                   },
                   [&](worker_rejected const& o) {
                       if (o.metadata.wrong_worker)
                       {
                           record_doubt(warm_up_source::worker_replaced);
                           return;
                       }
                       record_response();
                   },
                   [&](worker_unreachable const&) {
                       if (!canceled)
                       {
                           record_doubt(warm_up_source::worker_unreachable);
                       }
                   },
                   [&](worker_failed const& o) {
                       if (o.connection_lost)
                       {
                           record_doubt(warm_up_source::connection_lost);
                       }
                   }},
               it);
}

void worker_warm_up::record_response()
{
    handle_event(admission::call_answered{});
}

void worker_warm_up::record_answered_run(admission::answered_run const& it)
{
    record_response();
    if (std::holds_alternative<admission::warm>(monitor_.state()) &&
        slowdown_detector_.observe(it, core::boot_clock::now()))
    {
        handle_event(admission::service_slowed{});
    }
}

void worker_warm_up::record_doubt(admission::warm_up_source cause)
{
    handle_event(admission::state_doubted{cause});
}

void worker_warm_up::close()
{
    timer_.cancel();
}

void worker_warm_up::handle_event(admission::warm_up_event const& it)
{
    for (auto const& action : monitor_.handle(it, core::boot_clock::now()))
    {
        std::visit([this](auto const& a) { apply(a); }, action);
    }
    set_timer();
}

void worker_warm_up::apply(admission::request_health const&)
{
    core::add(counters_->health_requests);
    client_->request_health(
        health_path_, [weak = weak_from_this()](health_outcome const& it) {
            if (auto const self = weak.lock())
            {
                self->on_health_outcome(it);
            }
        });
}

void worker_warm_up::on_health_outcome(health_outcome const& it)
{
    if (auto const* response = std::get_if<health_response>(&it))
    {
        handle_event(admission::health_answered{response->cold_remaining});
        return;
    }
    auto const& failure = std::get<health_unavailable>(it);
    if (failure.fault)
    {
        counters_->invalid_health_responses.record(*failure.fault);
    }
    core::log_event(
        core::log_level::info, "worker_health_unknown",
        {{"reason", failure.reason},
         {"fault", failure.fault ? to_string(*failure.fault) : ""}});
    handle_event(admission::health_failed{});
    // Calls that wait must not stay at the cold rate if the worker is warm.
    set_calls_wait(calls_wait_);
}

void worker_warm_up::apply(admission::state_changed const& it)
{
    if (std::holds_alternative<admission::warm>(it.state))
    {
        slowdown_detector_.start(core::boot_clock::now());
    }
    auto const rate = monitor_.rate_in_force();
    auto const limit = core::limit_of(rate).value_or(core::millihertz(0));
    auto const ends_at = end_of(it.state);
    auto const remaining = ends_at
                               ? std::chrono::duration_cast<core::milliseconds>(
                                     *ends_at - core::boot_clock::now())
                               : core::milliseconds(0);
    core::log_event(core::log_level::info, "worker_warm_up_changed",
                    {{"state", admission::name_of(it.state)},
                     {"source", admission::name_of(it.source)},
                     {"cold_ms", remaining.count()},
                     {"limit_millihertz", limit.value()}});
    counters_->cold_rate = limit.value();
    on_rate_changed_({rate, ends_at});
}

void worker_warm_up::set_timer()
{
    auto const due = monitor_.next_timer();
    if (due == timer_due_)
    {
        return;
    }
    timer_due_ = due;
    if (!due)
    {
        timer_.cancel();
        return;
    }
    // The timer is set at least 1 ms ahead, which is its resolution.
    timer_.expires_after(std::max<core::duration>(
        *due - core::boot_clock::now(), core::milliseconds(1)));
    timer_.async_wait(
        [weak = weak_from_this()](boost::system::error_code const& ec) {
            if (auto const self = weak.lock(); self && !ec)
            {
                self->timer_due_.reset();
                self->handle_event(admission::warm_up_timer_expired{});
            }
        });
}

} // namespace yuccafall::upstream
