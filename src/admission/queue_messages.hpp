// The events that the slot queue handles and the actions that it returns.
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
//   takes from all nodes together. Only this queue sends requests to the
//   worker, so it keeps to the limit for the whole fleet.
// - The cold rate of a worker is the number of requests a second that it takes
//   from all nodes together while it is cold or may be. It is in force beside
//   the stated rate, and the stricter of the two determines the waits.
// - A lost call was sent to the worker, which neither runs it nor has it
//   waiting, and will not respond. Some workers drop calls so when they are
//   full.
// - External calls run or wait at the worker, but this queue did not start
//   them. An earlier process of this node may have done so.
#ifndef YUCCAFALL_ADMISSION_QUEUE_MESSAGES_HPP
#define YUCCAFALL_ADMISSION_QUEUE_MESSAGES_HPP

#include <optional>
#include <variant>

#include "core/error.hpp"
#include "core/ids.hpp"
#include "core/stated_rate.hpp"
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
// The cold rate in force has changed; rate_unknown means that there is none.
struct cold_rate_changed
{
    core::stated_rate rate;
    // When the worker's cold time ends, if it is known.
    std::optional<core::instant> ends_at = std::nullopt;
};
// The worker rejected a call although the queue counted a free slot.
struct call_rejected
{
    // The load that the rejection reports, without the rejected call.
    std::optional<worker_load> load = std::nullopt;
};
struct slots_changed
{
    core::slot_count slots;
};
struct timer_expired
{};
// The worker gets no more calls, because it starts to drain or because its data
// centre is evacuated. Waiting calls and new calls are refused.
struct drain_started
{
    // The kind of the refusals.
    core::error_kind kind = core::error_kind::leaving;
};
struct drain_ended
{};
using event =
    std::variant<call_offered, body_arrived, call_canceled, run_ended,
                 load_reported, rate_stated, cold_rate_changed, call_rejected,
                 slots_changed, timer_expired, drain_started, drain_ended>;

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
    // True if the call has waited for the cold rate although a slot was free.
    bool waited_for_cold_rate = false;
};
struct refuse_call
{
    core::call_id call;
    core::error_kind kind;
    // Estimated time until the queue has room for the call.
    core::milliseconds retry_after{0};
    // True if the cold rate is what the call would have to wait for.
    bool due_to_cold_rate = false;
};
// States that the worker does not have a call that was sent to it, so that no
// response will come. The call does not hold a slot any more. It has not ended
// for the calling code, which may abort it.
struct call_lost
{
    core::call_id call;
};
using action = std::variant<request_body, start_call, refuse_call, call_lost>;

} // namespace yuccafall::admission

#endif
