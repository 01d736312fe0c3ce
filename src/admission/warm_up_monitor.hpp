// Decides whether the local worker, the one beside this node, counts as cold,
// and when it is asked for its state.
//
// A cold worker crashes if it gets many more requests than its cold rate. All
// requests to a worker pass through the node beside it, so this class alone
// decides whether the cold rate is in force. The worker's health responses are
// immediate and current, but costly. They are therefore requested only if an
// event makes the state unknown, or if the worker has become slow, which is
// also the only sign of a second cold period that no event shows. An entry in
// the store may be seconds old; it can cause a health request but never ends
// the cold rate.
//
// A doubt is an event after which the worker may be another process, or may
// have become cold again.
#ifndef YUCCAFALL_ADMISSION_WARM_UP_MONITOR_HPP
#define YUCCAFALL_ADMISSION_WARM_UP_MONITOR_HPP

#include <optional>
#include <string_view>
#include <variant>
#include <vector>

#include "core/ids.hpp"
#include "core/stated_rate.hpp"
#include "core/units.hpp"
#include "core/warm_up_limits.hpp"

namespace yuccafall::admission {

// The assumed state of the worker.
// No cold rate is known for the service, so the state does not matter.
struct cold_rate_absent
{};
// The worker may be cold, so the cold rate applies.
struct warm_up_unknown
{};
struct cold_until
{
    core::instant end;
};
struct warm
{};
using warm_up_state =
    std::variant<cold_rate_absent, warm_up_unknown, cold_until, warm>;

// What has caused a change of the assumed state.
enum class warm_up_source
{
    configuration,
    offer,
    entry,
    health_response,
    connection_lost,
    worker_unreachable,
    // Another worker has the address of the one that a call was meant for.
    worker_replaced,
    evacuation_ended,
    // The worker has not answered a call for some time.
    idle,
    // The cold time that the worker stated has passed.
    time_passed,
};

std::string_view name_of(warm_up_source it);
std::string_view name_of(warm_up_state const& it);

// Events that the monitor handles.
// What the configuration in force states of the worker's service.
struct service_configured
{
    std::optional<core::warm_up_limits> limits;
    // False if the worker cannot be asked for its state.
    bool has_health_path = false;
};
// Another node knows the limits of the service. Ignored once this node has a
// configuration.
struct limits_offered
{
    core::warm_up_limits limits;
};
// What the worker's entry in the store states.
struct worker_listed
{
    core::worker_start started;
    core::milliseconds cold_remaining{0};
};
struct state_doubted
{
    warm_up_source cause;
};
// A call was offered. The response to an earlier call shows only for a limited
// time that the worker is the same process and not cold.
struct call_arrived
{};
// At least one call waits for the worker.
struct calls_wait
{};
// The worker has responded to a call.
struct call_answered
{};
// The worker takes longer than usual for its calls, as it does while it is
// cold.
struct service_slowed
{};
struct health_answered
{
    // How much longer the worker is cold, or zero.
    core::milliseconds cold_remaining{0};
};
// No health response arrived, or it states that the worker is ill, or it
// cannot be read.
struct health_failed
{};
struct warm_up_timer_expired
{};
using warm_up_event =
    std::variant<service_configured, limits_offered, worker_listed,
                 state_doubted, call_arrived, calls_wait, call_answered,
                 service_slowed, health_answered, health_failed,
                 warm_up_timer_expired>;

// Actions that the calling code carries out after each event.
// Asks the calling code to request a health response. A health_answered or
// health_failed event must follow.
// Invariant: at most one request is under way.
struct request_health
{};
// The assumed state has changed, and with it possibly the rate in force.
struct state_changed
{
    warm_up_state state;
    warm_up_source source;
};
using warm_up_action = std::variant<request_health, state_changed>;

struct warm_up_settings
{
    // Health requests are sent at least this far apart. Also how long the
    // worker counts as warm after it was asked and stated no cold time, even if
    // its connections are lost: a worker that crashes takes longer than this to
    // return.
    core::milliseconds min_request_interval{300};
    // A warm worker that has answered no call for this long is in doubt. It may
    // have crashed unnoticed, because no connection to it was in use.
    core::milliseconds max_silence{2'000};
    // Health requests because the worker has become slow are at least this far
    // apart, except for one request after each cold time that the worker has
    // stated. A worker may be slow for another reason, and each request costs
    // about a third of a response.
    core::milliseconds min_slow_request_interval{5'000};
};

class warm_up_monitor
{
public:
    explicit warm_up_monitor(warm_up_settings settings = {})
        : settings_(settings)
    {}

    std::vector<warm_up_action> handle(warm_up_event const& it,
                                       core::instant now);

    // Returns when the monitor must get the next warm_up_timer_expired event,
    // or nothing if it needs none.
    std::optional<core::instant> next_timer() const;

    warm_up_state const& state() const { return state_; }
    // Returns the rate that the worker may get from all nodes together, or
    // rate_unknown if no cold rate is in force.
    core::stated_rate rate_in_force() const;

private:
    using actions = std::vector<warm_up_action>;

    void on(service_configured const& it, core::instant now, actions& out);
    void on(limits_offered const& it, core::instant now, actions& out);
    void on(worker_listed const& it, core::instant now, actions& out);
    void on(state_doubted const& it, core::instant now, actions& out);
    void on(call_arrived const&, core::instant now, actions& out);
    void on(calls_wait const&, core::instant now, actions& out);
    void on(call_answered const&, core::instant now, actions& out);
    void on(service_slowed const&, core::instant now, actions& out);
    void on(health_answered const& it, core::instant now, actions& out);
    void on(health_failed const&, core::instant now, actions& out);
    void on(warm_up_timer_expired const&, core::instant now, actions& out);

    template <class State>
    bool is() const
    {
        return std::holds_alternative<State>(state_);
    }
    void set_limits(std::optional<core::warm_up_limits> const& limits,
                    warm_up_source source, core::instant now, actions& out);
    void set_state(warm_up_state state, warm_up_source source, actions& out);
    // Makes the state unknown because of a doubt, unless the worker still
    // counts as warm. The doubt takes effect later in that case.
    void apply_doubt(core::instant now, actions& out);
    // Requests a health response if one is wanted and may be requested now.
    void request_if_due(core::instant now, actions& out);
    // Returns whether no health request is under way and the most recent one
    // was sent long enough ago.
    bool may_request(core::instant now) const;
    void send_request(core::instant now, actions& out);

    warm_up_settings settings_;
    warm_up_state state_ = cold_rate_absent{};
    // Invariant: empty exactly if the state is cold_rate_absent.
    std::optional<core::warm_up_limits> limits_;
    // True once this node has a configuration, which then decides on limits_.
    bool configured_ = false;
    // False until a configuration states a health path.
    bool has_health_path_ = false;
    std::optional<worker_listed> listed_;
    // A doubt that takes effect when the worker no longer counts as warm in
    // spite of it, or that arose while a health request was under way.
    std::optional<warm_up_source> doubt_;
    // The worker counts as warm until this time in spite of doubts.
    core::instant trusted_until_{};
    core::instant last_contact_{};
    // When the most recent health request was sent.
    std::optional<core::instant> requested_at_;
    // When the most recent one was sent because the worker had become slow.
    std::optional<core::instant> slow_requested_at_;
    // The most recent health response stated a cold time, and no request was
    // sent since. If the worker counts as warm, this time has passed.
    bool cold_time_stated_ = false;
    bool request_under_way_ = false;
    // A doubt arose while the request was under way, so that its response may
    // be from before the worker became cold.
    bool response_outdated_ = false;
    // A health request is to be sent as soon as one is allowed.
    bool request_wanted_ = false;
};

} // namespace yuccafall::admission

#endif
