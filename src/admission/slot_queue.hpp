// Decides which calls run in the slots of one worker, which calls wait and
// which are refused.
//
// Terms:
// - A slot is the right to run one call at the worker. The list of workers
//   states how many slots a worker has.
// - An offer is the message by which the node that received a caller's request
//   asks this node to run the call.
// - A nested call is one that a worker makes while it runs another request.
// - The rank of a call is the priority class of its route; 0 goes first.
// - The target time of a call is the time by which its response would meet the
//   target latency of its route. Its deadline is the time after which the
//   caller no longer waits.
// - A call is late if it would end after its target time even if it started
//   now.
// - The stated rate of a worker is the number of requests a second that it
// takes
//   from all nodes together. Only this queue sends requests to the worker, so
//   it keeps to the limit for the whole fleet.
// - A lost call was sent to the worker, which neither runs it nor has it
//   waiting, and will not respond. Some workers drop calls so when they are
//   full.
// - External calls run or wait at the worker, but this queue did not start
//   them. An earlier process of this node may have done so.
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
#include <variant>
#include <vector>

#include "admission/body_pacer.hpp"
#include "admission/rate_limiter.hpp"
#include "admission/response_sizes.hpp"
#include "admission/service_times.hpp"
#include "core/error.hpp"
#include "core/ids.hpp"
#include "core/units.hpp"

namespace yuccafall::admission {

// A call that is offered to the queue.
struct job
{
    core::call_id call;
    core::route_name route;
    core::rank rank;
    // True if a worker made the call while it was running another request.
    bool nested = false;
    // True if another worker is believed to have a free slot. The call is then
    // refused if it would have to wait.
    bool has_alternative = false;
    // The caller no longer waits for the response after this time.
    core::instant deadline;
    // A response by this time meets the route's target latency. A later
    // response is worth less to the caller.
    core::instant target_time;
    // True if the body is still at the node that offers the call, which sends
    // it after this node has requested it.
    bool awaits_body = false;
    // Size of a body that has yet to cross the network, otherwise 0.
    core::byte_count body_size;
    // Time until the VM's link has carried the long responses that are ready.
    core::duration link_backlog{};
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
    // Size of the response's body. A long response has yet to cross the VM's
    // link.
    core::byte_count response_size{};
};
// The load that a worker reports with its responses. The numbers cover all
// calls at the worker, whichever process sent them.
struct worker_load
{
    core::slot_count running;
    core::queue_length waiting;
    core::slot_count slots;
    // Current service time as a percentage of the usual one. A slow worker has
    // more than 100.
    core::percentage relative_service_time{100};
};
struct load_reported
{
    worker_load load;
    // The call whose response carries the report. It still counts as running,
    // and it is not lost.
    std::optional<core::call_id> answered_call = std::nullopt;
};
// The worker, or a node that knows its responses, has stated its rate.
struct rate_stated
{
    core::stated_rate rate;
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
// The worker starts to drain. Waiting calls and new calls are refused.
struct drain_started
{};
struct drain_ended
{};
using event =
    std::variant<call_offered, body_arrived, call_canceled, run_ended,
                 load_reported, rate_stated, call_rejected, slots_changed,
                 timer_expired, drain_started, drain_ended>;

// Actions that the calling code carries out after each event.
// Asks the calling code to request the body of the call from the node that
// offered it.
struct request_body
{
    core::call_id call;
};
// Asks the calling code to send the call to the worker.
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
// States that the worker does not have a call that was sent to it, so that no
// response will come. The call does not hold a slot any more. It has not ended
// for the calling code, which may abort it.
struct call_lost
{
    core::call_id call;
};
using action = std::variant<request_body, start_call, refuse_call, call_lost>;

struct queue_settings
{
    core::slot_count slots{1};
    body_pacer_settings body_pacing;
    // Limit on late calls in the queue, as a percentage of the slots. A new
    // call that would be late is refused if this many calls of any kind are
    // waiting.
    core::percentage max_late_share{50};
    // After the worker has rejected a call, no calls are sent to it for this
    // long.
    core::milliseconds rejection_pause{15};
    // How long the number of external calls in a worker's load report is taken
    // as valid.
    core::milliseconds external_load_ttl{400};
    // A call that was sent less than this time ago may be missing from the
    // worker's load report.
    core::milliseconds report_delay{100};
};

class slot_queue
{
public:
    explicit slot_queue(queue_settings settings)
        : settings_(settings), body_pacer_(settings.body_pacing)
    {}

    std::vector<action> handle(event const& it, core::instant now);

    // Returns when the queue must get the next timer_expired event, or nothing
    // if it needs none.
    std::optional<core::instant> next_timer() const;

    // Returns the number of calls that hold a slot.
    std::size_t running() const { return running_.size() - lost_calls_; }
    std::size_t waiting() const { return waiting_.size(); }
    core::slot_count slots() const { return settings_.slots; }
    core::duration expected_service_time(core::route_name const& route) const;
    core::stated_rate const& stated_rate() const
    {
        return rate_limiter_.stated();
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
    };
    struct running_call
    {
        core::route_name route;
        core::instant started_at;
        core::duration expected_service_time;
        bool nested = false;
        // The worker does not have the call.
        bool lost = false;
    };

    void on(call_offered const& it, core::instant now, actions& out);
    void on(body_arrived const& it, core::instant now, actions& out);
    void on(call_canceled const& it, core::instant now, actions& out);
    void on(run_ended const& it, core::instant now, actions& out);
    void on(load_reported const& it, core::instant now, actions& out);
    void on(rate_stated const& it, core::instant now, actions& out);
    void on(call_rejected const&, core::instant now, actions& out);
    void on(slots_changed const& it, core::instant now, actions& out);
    void on(timer_expired const&, core::instant now, actions& out);
    void on(drain_started const&, core::instant now, actions& out);
    void on(drain_ended const&, core::instant now, actions& out);

    // Finds the calls that the worker does not have, by the number of calls
    // that it reports.
    void find_lost_calls(load_reported const& report, core::instant now,
                         actions& out);
    void start_ready_calls(core::instant now, actions& out);
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
    // Returns the expected time until all bodies that go ahead of the new
    // call's body have arrived, or zero if that body is already here.
    core::duration wait_for_body(waiting_call const& new_call,
                                 core::instant now) const;
    // Returns how long the link carries a response of the route, or zero if its
    // responses are short.
    core::duration response_time(core::route_name const& route) const;
    // Returns the share of the slots' time that nested calls have used
    // recently, from 0 to 1.
    double nested_slot_share() const;
    void record_slot_time(running_call const& it, core::instant now);
    // Returns the least time before its deadline at which a waiting call may
    // still start. While other calls wait, a slot is left to those that have
    // enough time.
    core::duration min_time_to_start(waiting_call const& it) const;
    void request_bodies(core::instant now, actions& out);
    void remove_waiting_call(core::call_id const& call);
    std::size_t max_late_calls() const;
    // Refuses late calls in excess of max_late_calls(), those with the earliest
    // target time first. Nested calls are neither counted nor refused.
    void refuse_excess_late_calls(core::instant now, actions& out);
    // Returns the retry delay that a refusal states.
    core::milliseconds retry_delay(core::instant now) const;

    queue_settings settings_;
    body_pacer body_pacer_;
    service_times service_times_;
    response_sizes response_sizes_;
    rate_limiter rate_limiter_;
    std::map<core::call_id, waiting_call> waiting_;
    std::map<core::call_id, running_call> running_;
    // Invariant: the number of calls in running_ that are lost.
    std::size_t lost_calls_ = 0;
    bool draining_ = false;
    core::percentage relative_service_time_{100};
    // Number of external calls in the most recent load report.
    std::size_t external_calls_ = 0;
    core::instant external_calls_reported_at_{};
    // Decaying sums of the time for which calls have held slots.
    double slot_time_ms_ = 0;
    double nested_slot_time_ms_ = 0;
    // No call is started before this time, because the worker rejected a call.
    core::instant start_paused_until_{};
    // When the worker's rate allows the next call, if a slot is free and the
    // rate is what calls wait for. The clock's epoch otherwise.
    core::instant rate_allows_call_at_{};
};

} // namespace yuccafall::admission

#endif
