// Decides which calls run in the slots of one worker, which calls wait and
// which are refused.
//
// Nested calls go first, since the request that made such a call holds a slot
// of another worker. Other calls are ordered by rank. Within a rank, calls that
// can still be answered within their target latency go first, the one with the
// earliest target time ahead of the others. Calls that are already late get the
// remaining slots. A new call that would have to wait is refused on arrival if
// it would end after its deadline, or if it would be late while many calls are
// waiting already.
#ifndef YUCCAFALL_ADMISSION_SLOT_QUEUE_HPP
#define YUCCAFALL_ADMISSION_SLOT_QUEUE_HPP

#include <map>
#include <optional>
#include <tuple>
#include <variant>
#include <vector>

#include "admission/body_pacer.hpp"
#include "admission/service_times.hpp"
#include "core/error.hpp"
#include "core/ids.hpp"
#include "core/units.hpp"

namespace yuccafall::admission {

// A call that is offered to the worker.
struct job
{
    core::call_id call;
    core::route_name route;
    core::rank rank;
    // The call was made by a worker while it runs another request.
    bool nested = false;
    // Another worker is believed to have a free slot, so this call is refused
    // if it would have to wait.
    bool has_alternative = false;
    // The final answer must arrive by this time.
    core::instant deadline;
    // An answer by this time meets the route's target latency and has the full
    // worth; a later answer is worth less.
    core::instant target_time;
    // The body is still at the caller's node, which sends it after the call has
    // been accepted.
    bool awaits_body = false;
    core::byte_count body_size;
};

// Events that the queue handles.
struct call_offered
{
    admission::job job;
};
struct body_arrived
{
    core::call_id call;
};
struct call_canceled
{
    core::call_id call;
};
enum class run_result
{
    completed,
    // The run was canceled, was rejected, failed or timed out. Its duration is
    // not a sample of the route's service time.
    incomplete,
};
struct run_ended
{
    core::call_id call;
    run_result result = run_result::completed;
};
// The load that a worker reports with its answers.
struct worker_load
{
    core::slot_count running;
    core::queue_length waiting;
    core::slot_count slots;
    // Present service time relative to the usual one, which is 100.
    core::percentage pace{100};
};
struct load_reported
{
    worker_load load;
};
// The worker rejected a call although the queue counted a free slot.
struct call_rejected
{};
struct slots_changed
{
    core::slot_count slots;
};
struct timer_expired
{};
// The worker starts to drain. Waiting calls are refused and new calls are not
// accepted.
struct drain_started
{};
struct drain_ended
{};
using event = std::variant<call_offered, body_arrived, call_canceled, run_ended,
                           load_reported, call_rejected, slots_changed,
                           timer_expired, drain_started, drain_ended>;

// Actions that the owner of the queue carries out.
struct request_body
{
    core::call_id call;
};
// Invariant: emitted at most once for each call, and never after the call has
// been refused.
struct start_call
{
    core::call_id call;
};
struct refuse_call
{
    core::call_id call;
    core::error_kind kind;
    // Estimated time until the queue has room for the call.
    core::milliseconds retry_after{0};
};
using action = std::variant<request_body, start_call, refuse_call>;

struct queue_settings
{
    core::slot_count slots{1};
    body_pacer_settings body_pacing;
    // Limit on waiting calls that can no longer be answered within their target
    // latency, as a percentage of the slots.
    core::percentage max_late_waiting{50};
    // After the worker has rejected a call, no calls are sent to it for this
    // long.
    core::milliseconds rejection_pause{15};
    // How long the queue relies on a worker's report of calls that this queue
    // did not start.
    core::milliseconds external_load_ttl{400};
};

class slot_queue
{
public:
    explicit slot_queue(queue_settings settings)
        : settings_(settings), body_pacer_(settings.body_pacing)
    {}

    std::vector<action> handle(event const& it, core::instant now);

    std::optional<core::instant> next_timer() const;

    std::size_t running() const { return running_.size(); }
    std::size_t waiting() const { return waiting_.size(); }
    core::slot_count slots() const { return settings_.slots; }
    core::percentage pace() const { return pace_; }
    // Return the expected time until a slot is free, for a call that goes ahead
    // of all waiting calls and for a call that goes behind all of them.
    core::milliseconds wait_at_front(core::instant now) const;
    core::milliseconds wait_at_back(core::instant now) const;
    // Returns the expected time until all pending bodies have arrived,
    // including those that have not been requested yet.
    core::milliseconds wait_for_bodies() const;
    core::bytes_per_second body_rate() const { return body_pacer_.body_rate(); }

private:
    using actions = std::vector<action>;

    struct waiting_call
    {
        admission::job job;
        core::duration expected;
        // Invariant: false while the body is pending.
        bool ready = true;
        bool body_requested = false;
    };
    struct running_call
    {
        core::route_name route;
        core::instant started_at;
        core::duration expected;
    };

    void on(call_offered const& it, core::instant now, actions& out);
    void on(body_arrived const& it, core::instant now, actions& out);
    void on(call_canceled const& it, core::instant now, actions& out);
    void on(run_ended const& it, core::instant now, actions& out);
    void on(load_reported const& it, core::instant now, actions& out);
    void on(call_rejected const&, core::instant now, actions& out);
    void on(slots_changed const& it, core::instant now, actions& out);
    void on(timer_expired const&, core::instant now, actions& out);
    void on(drain_started const&, core::instant now, actions& out);
    void on(drain_ended const&, core::instant now, actions& out);

    void start_ready_calls(core::instant now, actions& out);
    void refuse_expired(core::instant now, actions& out);
    std::size_t available_slots(core::instant now) const;
    core::duration expected(core::route_name const& route) const;
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
    // Returns the expected time until a slot is free for a call with the given
    // precedence. The call waits behind all calls whose precedence is lower or
    // equal, or behind all waiting calls if no precedence is given.
    core::duration expected_wait(std::optional<precedence> const& position,
                                 core::instant now) const;
    // Returns the expected time until all bodies that go ahead of the new
    // call's body have arrived, or zero if its body is not pending.
    core::duration wait_for_body(waiting_call const& new_call,
                                 core::instant now) const;
    void request_bodies(core::instant now, actions& out);
    void remove_waiting(core::call_id const& call);
    std::size_t max_late_calls() const;
    // Refuses late calls that exceed the limit, those with the earliest target
    // time first.
    void refuse_excess_late_calls(core::instant now, actions& out);
    core::milliseconds retry_delay(core::instant now) const;

    queue_settings settings_;
    body_pacer body_pacer_;
    service_times service_times_;
    std::map<core::call_id, waiting_call> waiting_;
    std::map<core::call_id, running_call> running_;
    bool draining_ = false;
    core::percentage pace_{100};
    // Calls that run or wait at the worker but were not started by this queue.
    std::size_t external_calls_ = 0;
    core::instant external_calls_at_{};
    core::instant paused_until_{};
};

} // namespace yuccafall::admission

#endif
