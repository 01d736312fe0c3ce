// Implements the rules for the assumed state of a worker and for its health
// requests.
#include "admission/warm_up_monitor.hpp"

#include <algorithm>

#include "core/overloaded.hpp"

namespace yuccafall::admission {

namespace {

// Returns whether the worker may be cold at the moment of the doubt. After the
// other causes it is cold only once it has returned from a crash.
bool takes_effect_at_once(warm_up_source it)
{
    return it == warm_up_source::evacuation_ended ||
           it == warm_up_source::worker_replaced;
}

} // namespace

std::string_view name_of(warm_up_source it)
{
    switch (it)
    {
    case warm_up_source::configuration:
        return "configuration";
    case warm_up_source::offer:
        return "offer";
    case warm_up_source::entry:
        return "entry";
    case warm_up_source::health_response:
        return "health_response";
    case warm_up_source::connection_lost:
        return "connection_lost";
    case warm_up_source::worker_unreachable:
        return "worker_unreachable";
    case warm_up_source::worker_replaced:
        return "worker_replaced";
    case warm_up_source::evacuation_ended:
        return "evacuation_ended";
    case warm_up_source::idle:
        return "idle";
    case warm_up_source::time_passed:
        return "time_passed";
    }
    return "unknown";
}

std::string_view name_of(warm_up_state const& it)
{
    return std::visit(
        core::overloaded{[](cold_rate_absent) { return "no_cold_rate"; },
                         [](warm_up_unknown) { return "unknown"; },
                         [](cold_until const&) { return "cold"; },
                         [](warm) { return "warm"; }},
        it);
}

std::vector<warm_up_action> warm_up_monitor::handle(warm_up_event const& it,
                                                    core::instant now)
{
    actions out;
    std::visit([&](auto const& e) { on(e, now, out); }, it);
    request_if_due(now, out);
    return out;
}

core::stated_rate warm_up_monitor::rate_in_force() const
{
    if (!limits_ || is<warm>())
    {
        return core::rate_unknown{};
    }
    return core::rate_limited{limits_->rate};
}

void warm_up_monitor::set_state(warm_up_state state, warm_up_source source,
                                actions& out)
{
    state_ = state;
    out.emplace_back(state_changed{state, source});
}

void warm_up_monitor::set_limits(
    std::optional<core::warm_up_limits> const& limits, warm_up_source source,
    core::instant now, actions& out)
{
    if (limits == limits_)
    {
        return;
    }
    bool const had_limits = limits_.has_value();
    limits_ = limits;
    if (!limits_)
    {
        doubt_.reset();
        request_wanted_ = false;
        set_state(cold_rate_absent{}, source, out);
        return;
    }
    if (had_limits)
    {
        // The state stays, but the rate in force may be another one.
        set_state(state_, source, out);
        return;
    }
    last_contact_ = now;
    set_state(warm_up_unknown{}, source, out);
}

void warm_up_monitor::on(service_configured const& it, core::instant now,
                         actions& out)
{
    configured_ = true;
    has_health_path_ = it.has_health_path;
    set_limits(it.limits, warm_up_source::configuration, now, out);
    if (is<warm_up_unknown>() && !has_health_path_)
    {
        doubt_ = warm_up_source::configuration;
        apply_doubt(now, out);
    }
}

void warm_up_monitor::on(limits_offered const& it, core::instant now,
                         actions& out)
{
    if (!configured_)
    {
        set_limits(it.limits, warm_up_source::offer, now, out);
    }
}

// Only a change of the entry is news. An entry that still states a cold time
// after a health response has ended it is merely old.
void warm_up_monitor::on(worker_listed const& it, core::instant now,
                         actions& out)
{
    constexpr core::milliseconds none{0};
    bool const has_restarted = listed_ && listed_->started != it.started;
    bool const has_become_cold = it.cold_remaining > none &&
                                 (!listed_ || listed_->cold_remaining <= none);
    listed_ = it;
    // A worker that does not count as warm is paced already, whatever its entry
    // says.
    if (has_restarted || (has_become_cold && is<warm>()))
    {
        on(state_doubted{warm_up_source::entry}, now, out);
    }
}

void warm_up_monitor::on(state_doubted const& it, core::instant now,
                         actions& out)
{
    if (is<cold_rate_absent>())
    {
        return;
    }
    doubt_ = it.cause;
    if (takes_effect_at_once(it.cause))
    {
        trusted_until_ = {};
        response_outdated_ = request_under_way_;
    }
    apply_doubt(now, out);
}

void warm_up_monitor::apply_doubt(core::instant now, actions& out)
{
    if (!doubt_ || (is<warm>() && now < trusted_until_))
    {
        return;
    }
    auto const cause = *doubt_;
    if (configured_ && !has_health_path_)
    {
        // The worker cannot be asked, so it counts as cold for as long as a
        // worker is cold that has just started.
        doubt_.reset();
        set_state(cold_until{now + limits_->duration}, cause, out);
        return;
    }
    if (!request_under_way_)
    {
        doubt_.reset();
    }
    request_wanted_ = true;
    if (!is<warm_up_unknown>())
    {
        set_state(warm_up_unknown{}, cause, out);
    }
}

void warm_up_monitor::on(call_arrived const&, core::instant now, actions& out)
{
    if (is<warm>() && now - last_contact_ > settings_.max_silence)
    {
        on(state_doubted{warm_up_source::idle}, now, out);
    }
    on(calls_wait{}, now, out);
}

void warm_up_monitor::on(calls_wait const&, core::instant, actions&)
{
    request_wanted_ = request_wanted_ || is<warm_up_unknown>();
}

void warm_up_monitor::on(call_answered const&, core::instant now, actions&)
{
    last_contact_ = now;
}

// The worker counts as warm until it responds to the health request. A doubt
// that has not taken effect causes a request of its own.
void warm_up_monitor::on(service_slowed const&, core::instant now, actions& out)
{
    bool const is_allowed =
        cold_time_stated_ || !slow_requested_at_ ||
        now - *slow_requested_at_ >= settings_.min_slow_request_interval;
    if (!is<warm>() || doubt_ || !is_allowed || !may_request(now))
    {
        return;
    }
    slow_requested_at_ = now;
    send_request(now, out);
}

void warm_up_monitor::on(health_answered const& it, core::instant now,
                         actions& out)
{
    request_under_way_ = false;
    if (is<cold_rate_absent>() || is<cold_until>())
    {
        return;
    }
    last_contact_ = now;
    // The response may have been written at any time since the request was
    // sent, and the worker may have crashed after that.
    trusted_until_ =
        requested_at_.value_or(now) + settings_.min_request_interval;
    bool const is_cold = it.cold_remaining > core::milliseconds(0);
    if (is<warm_up_unknown>() && doubt_ &&
        (is_cold || response_outdated_ || now >= trusted_until_))
    {
        // The response may be from before the doubt.
        doubt_.reset();
        request_wanted_ = true;
        return;
    }
    request_wanted_ = false;
    if (is_cold)
    {
        cold_time_stated_ = true;
        set_state(cold_until{now + it.cold_remaining},
                  warm_up_source::health_response, out);
        return;
    }
    if (!is<warm>())
    {
        set_state(warm{}, warm_up_source::health_response, out);
    }
}

void warm_up_monitor::on(health_failed const&, core::instant, actions&)
{
    request_under_way_ = false;
    // The next event or call causes another request.
    request_wanted_ = false;
    doubt_.reset();
}

void warm_up_monitor::on(warm_up_timer_expired const&, core::instant now,
                         actions& out)
{
    if (auto const* cold = std::get_if<cold_until>(&state_);
        cold != nullptr && now >= cold->end)
    {
        last_contact_ = now;
        set_state(warm{}, warm_up_source::time_passed, out);
    }
    if (is<warm>())
    {
        apply_doubt(now, out);
    }
}

bool warm_up_monitor::may_request(core::instant now) const
{
    bool const is_allowed =
        !requested_at_ ||
        now - *requested_at_ >= settings_.min_request_interval;
    return is_allowed && !request_under_way_ && has_health_path_;
}

void warm_up_monitor::request_if_due(core::instant now, actions& out)
{
    if (is<warm_up_unknown>() && request_wanted_ && may_request(now))
    {
        send_request(now, out);
    }
}

void warm_up_monitor::send_request(core::instant now, actions& out)
{
    requested_at_ = now;
    request_under_way_ = true;
    request_wanted_ = false;
    response_outdated_ = false;
    cold_time_stated_ = false;
    doubt_.reset();
    out.emplace_back(request_health{});
}

std::optional<core::instant> warm_up_monitor::next_timer() const
{
    if (auto const* cold = std::get_if<cold_until>(&state_))
    {
        return cold->end;
    }
    if (is<warm>() && doubt_)
    {
        return trusted_until_;
    }
    if (is<warm_up_unknown>() && request_wanted_ && !request_under_way_ &&
        has_health_path_ && requested_at_)
    {
        return *requested_at_ + settings_.min_request_interval;
    }
    return std::nullopt;
}

} // namespace yuccafall::admission
