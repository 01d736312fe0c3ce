// Decides which calls run in the slots of one worker, which calls wait and
// which are refused.
//
// The terms are those of admission/queue_messages.hpp.
//
// Nested calls go first, since the request that made such a call holds a slot
// of another worker. All calls are then ordered by rank. Within a rank, calls
// that are not late go ahead of late calls, and calls with an earlier target
// time go ahead of those with a later one. A new call that would have to wait
// is refused on arrival if another worker is believed to have a free slot, if
// it would end after its deadline, or if it would end after its target time
// while many calls are waiting already. A call ends when its response has
// crossed the VM's link. A call with a long response is also refused if only
// the long responses ahead of it make it late, or if it is late in any case and
// others wait for the link.
#ifndef YUCCAFALL_ADMISSION_SLOT_QUEUE_HPP
#define YUCCAFALL_ADMISSION_SLOT_QUEUE_HPP

#include <map>
#include <optional>
#include <tuple>
#include <vector>

#include "admission/body_pacer.hpp"
#include "admission/queue_messages.hpp"
#include "admission/rate_limiter.hpp"
#include "admission/refusal_rules.hpp"
#include "admission/response_sizes.hpp"
#include "admission/running_calls.hpp"
#include "admission/service_times.hpp"
#include "balancing/load_report.hpp"
#include "core/ids.hpp"
#include "core/units.hpp"

namespace yuccafall::admission {

struct queue_settings
{
    core::slot_count slots{1};
    body_pacer_settings body_pacing;
    // Limit on late calls in the queue, as a percentage of the slots. A new
    // call that would be late is refused if this many calls of any kind are
    // waiting.
    core::percentage max_late_share = default_max_late_share;
    // After the worker has rejected a call because it is full, no calls are
    // sent to it for this long.
    core::milliseconds rejection_pause{15};
    // How long the number of external calls in a worker's load report is taken
    // as valid.
    core::milliseconds external_load_ttl{400};
    // No longest interval applies to the cold rate: it would raise a low rate,
    // and health responses tell when the cold time ends.
    rate_limiter_settings cold_pacing{core::milliseconds(250),
                                      core::milliseconds(1'000'000)};
};

class slot_queue
{
public:
    explicit slot_queue(queue_settings settings)
        : settings_(settings), body_pacer_(settings.body_pacing),
          cold_limiter_(settings.cold_pacing)
    {}

    std::vector<action> handle(event const& it, core::instant now);

    // Returns when the queue must get the next timer_expired event, or nothing
    // if it needs none.
    std::optional<core::instant> next_timer() const;

    // Returns the number of calls that hold a slot.
    std::size_t running() const { return running_.count(); }
    std::size_t waiting() const { return waiting_.size(); }
    core::slot_count slots() const { return settings_.slots; }
    core::duration expected_service_time(core::route_name const& route) const;
    core::stated_rate const& stated_rate() const
    {
        return rate_limiter_.stated();
    }
    // Returns the cold rate in force, or rate_unknown if there is none.
    core::stated_rate const& cold_rate() const
    {
        return cold_limiter_.stated();
    }
    core::percentage relative_service_time() const
    {
        return relative_service_time_;
    }
    // Returns the expected time until a slot is free for a new call that goes
    // behind the nested calls that wait and ahead of all others (nested), or
    // behind all of them (back).
    core::milliseconds wait_for_nested(core::instant now) const;
    core::milliseconds wait_at_back(core::instant now) const;
    // Returns the same for a new call of the rank that is neither nested nor
    // late. It goes behind the nested calls, the calls of more urgent ranks and
    // the calls of its rank that are not late.
    core::milliseconds wait_for(core::rank rank, core::instant now) const;
    // Returns the same for each rank of which calls wait that are not nested,
    // for the most urgent of them if there are more than max_rank_waits.
    std::vector<balancing::rank_wait> waits_by_rank(core::instant now) const;
    // Returns the expected time until the bodies of all waiting calls have
    // arrived, including those that have not been requested yet.
    core::milliseconds wait_for_bodies() const;
    // Returns the expected time that the link needs for the long responses of
    // the calls that wait or run.
    core::duration expected_response_time() const;
    core::bytes_per_second body_rate() const { return body_pacer_.body_rate(); }

private:
    using actions = std::vector<action>;

    struct waiting_call
    {
        admission::job job;
        core::duration expected_service_time;
        // False while the body has not arrived completely.
        bool ready = true;
        bool body_requested = false;
        // True if the call has waited for the cold rate although a slot was
        // free.
        bool waited_for_cold_rate = false;
    };
    void on(call_offered const& it, core::instant now, actions& out);
    void on(body_arrived const& it, core::instant now, actions& out);
    void on(call_canceled const& it, core::instant now, actions& out);
    void on(run_ended const& it, core::instant now, actions& out);
    void on(load_reported const& it, core::instant now, actions& out);
    void on(rate_stated const& it, core::instant now, actions& out);
    void on(cold_rate_changed const& it, core::instant now, actions& out);
    void on(call_rejected const& it, core::instant now, actions& out);
    void on(slots_changed const& it, core::instant now, actions& out);
    void on(timer_expired const&, core::instant now, actions& out);
    void on(drain_started const& it, core::instant now, actions& out);
    void on(drain_ended const&, core::instant now, actions& out);

    void start_ready_calls(core::instant now, actions& out);
    // Records that the cold rate is what the ready calls wait for.
    void mark_waiting_for_cold_rate();
    // Refuses waiting calls that have too little time left before their
    // deadline.
    void refuse_expired(core::instant now, actions& out);
    // Returns the number of slots that external calls do not take up.
    std::size_t available_slots(core::instant now) const;
    // Sort key of a waiting call. The call with the lowest key goes first.
    struct precedence
    {
        bool yields_to_nested;
        core::rank rank;
        bool late;
        core::instant target_time;

        friend bool operator<(precedence const& a, precedence const& b)
        {
            return std::tie(a.yields_to_nested, a.rank, a.late, a.target_time) <
                   std::tie(b.yields_to_nested, b.rank, b.late, b.target_time);
        }
    };
    static precedence precedence_of(waiting_call const& it, core::instant now);
    // Returns the expected time until a slot is free and the worker's rate
    // allows a call with the given precedence. The call waits behind all calls
    // whose precedence is lower or equal, or behind all waiting calls if no
    // precedence is given.
    core::duration expected_wait(std::optional<precedence> const& position,
                                 core::instant now) const;
    // Returns the number of waiting calls that go ahead of such a call.
    std::size_t calls_ahead_of(std::optional<precedence> const& position,
                               core::instant now) const;
    // Returns the time until the cold rate allows a call, at most until the
    // worker's cold time ends.
    core::duration cold_rate_wait(std::size_t calls_ahead,
                                  core::instant now) const;
    // Returns the expected time until all bodies that go ahead of the new
    // call's body have arrived, or zero if that body is already here.
    core::duration wait_for_body(waiting_call const& new_call,
                                 core::instant now) const;
    // Returns how long the link carries a response of the route, or zero if its
    // responses are short.
    core::duration response_time(core::route_name const& route) const;
    // Returns the least time before its deadline at which a waiting call may
    // still start. While other calls wait, a slot is left to those that have
    // enough time.
    core::duration min_time_to_start(waiting_call const& it) const;
    void request_bodies(core::instant now, actions& out);
    void remove_waiting_call(core::call_id const& call);
    std::size_t max_late_calls() const;
    // Refuses late calls in excess of max_late_calls(), those with the earliest
    // target time first, or the least urgent first while the cold rate is in
    // force. Nested calls are neither counted nor refused.
    void refuse_excess_late_calls(core::instant now, actions& out);
    // Returns the retry delay that a refusal states.
    core::milliseconds retry_delay(core::instant now) const;

    queue_settings settings_;
    body_pacer body_pacer_;
    service_times service_times_;
    response_sizes response_sizes_;
    rate_limiter rate_limiter_;
    rate_limiter cold_limiter_;
    std::optional<core::instant> cold_rate_ends_at_;
    std::map<core::call_id, waiting_call> waiting_;
    running_calls running_;
    // The kind of the refusals while the worker gets no calls, otherwise empty.
    std::optional<core::error_kind> drain_kind_;
    core::percentage relative_service_time_{100};
    // Number of external calls in the most recent load report.
    std::size_t external_calls_ = 0;
    core::instant external_calls_reported_at_{};
    // No call is started before this time, because the worker rejected a call.
    core::instant start_paused_until_{};
    // When the two rates allow the next call, if a slot is free and a rate is
    // what calls wait for. The clock's epoch otherwise.
    core::instant rate_allows_call_at_{};
};

} // namespace yuccafall::admission

#endif
