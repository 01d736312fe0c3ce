// Carries out the actions of the warm-up monitor in the simulation.
#include "bench/model/owner_warm_up.hpp"

#include <algorithm>
#include <utility>

namespace yuccafall::bench::model {

namespace {

// Time from a health request to its response.
constexpr core::milliseconds health_response_time{1};

} // namespace

void owner_warm_up::set_limits(core::warm_up_limits const& limits)
{
    handle_event(admission::service_configured{limits, true});
}

void owner_warm_up::record_offer()
{
    if (std::exchange(has_lost_connections_, false))
    {
        record_doubt(admission::warm_up_source::connection_lost);
    }
    handle_event(admission::call_arrived{});
}

void owner_warm_up::set_calls_wait(bool calls_wait)
{
    calls_wait_ = calls_wait;
    if (calls_wait)
    {
        handle_event(admission::calls_wait{});
    }
}

void owner_warm_up::record_answered_run(admission::answered_run const& it)
{
    handle_event(admission::call_answered{});
    if (rules_->asks_slow_workers &&
        std::holds_alternative<admission::warm>(monitor_.state()) &&
        slowdown_detector_.observe(it, events_->now()))
    {
        record_slowdown();
    }
}

void owner_warm_up::record_slowdown()
{
    auto const now = events_->now();
    bool const is_too_early =
        slow_requested_at_ &&
        now - *slow_requested_at_ <
            admission::warm_up_settings{}.min_slow_request_interval;
    if (is_too_early && !rules_->asks_after_cold_time)
    {
        return;
    }
    auto const requests_before = health_requests_;
    handle_event(admission::service_slowed{});
    if (health_requests_ > requests_before)
    {
        slow_requested_at_ = now;
    }
}

void owner_warm_up::record_doubt(admission::warm_up_source cause)
{
    handle_event(admission::state_doubted{cause});
}

void owner_warm_up::handle_event(admission::warm_up_event const& it)
{
    for (auto const& action : monitor_.handle(it, events_->now()))
    {
        std::visit([this](auto const& a) { apply(a); }, action);
    }
    auto const due = monitor_.next_timer();
    if (!due || (next_timer_ && *next_timer_ <= *due))
    {
        return;
    }
    next_timer_ = std::max(*due, events_->now() + core::milliseconds(1));
    events_->schedule_at(*next_timer_, [this, when = *next_timer_] {
        // An earlier timer may have been set since.
        if (next_timer_ == when)
        {
            next_timer_.reset();
            handle_event(admission::warm_up_timer_expired{});
        }
    });
}

void owner_warm_up::apply(admission::request_health const&)
{
    ++health_requests_;
    events_->schedule_after(health_response_time,
                            [this] { on_health_response(); });
}

void owner_warm_up::on_health_response()
{
    auto const now = events_->now();
    if (!worker_->is_away(now))
    {
        handle_event(admission::health_answered{worker_->cold_remaining(now)});
        return;
    }
    handle_event(admission::health_failed{});
    set_calls_wait(calls_wait_);
}

void owner_warm_up::apply(admission::state_changed const& it)
{
    if (std::holds_alternative<admission::warm>(it.state))
    {
        slowdown_detector_.start(events_->now());
    }
    auto const* cold = std::get_if<admission::cold_until>(&it.state);
    on_rate_changed_(
        {monitor_.rate_in_force(),
         cold == nullptr ? std::nullopt : std::optional(cold->end)});
}

} // namespace yuccafall::bench::model
