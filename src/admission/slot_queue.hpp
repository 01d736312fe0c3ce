// Decides which calls run in the slots of one worker, which wait and which
// are refused.
//
// Order: calls of running requests first, since each of those holds a slot
// elsewhere; then by rank. Within a rank calls that can still be answered
// within their aim come first, those with the nearest aim before others; calls
// that are late already take what is left. A call that would end after its
// deadline, or late while others wait, is refused when it comes.
#ifndef YUCCAFALL_ADMISSION_SLOT_QUEUE_HPP
#define YUCCAFALL_ADMISSION_SLOT_QUEUE_HPP

#include <map>
#include <optional>
#include <tuple>
#include <variant>
#include <vector>

#include "admission/body_intake.hpp"
#include "admission/service_times.hpp"
#include "core/error.hpp"
#include "core/ids.hpp"
#include "core/units.hpp"

namespace yuccafall::admission {

struct job
{
    core::call_id call;
    core::route_name route;
    core::rank rank;
    // Made by a worker for a request that it runs.
    bool nested = false;
    // Refused unless a slot is free.
    bool has_alternative = false;
    // The final answer is due.
    core::instant deadline;
    // An answer by then is worth most.
    core::instant aim;
    // The body is still at the other node and is asked for once the call is
    // accepted.
    bool awaits_body = false;
    core::byte_count body;
};

// Events.
struct offered
{
    admission::job job;
};
struct body_arrived
{
    core::call_id call;
};
struct cancelled
{
    core::call_id call;
};
enum class run_end
{
    completed,
    // Cancelled, rejected or out of time: its duration says nothing of others.
    cut_short,
};
struct run_ended
{
    core::call_id call;
    run_end how = run_end::completed;
};
// What the worker says of itself.
struct worker_load
{
    core::slot_count running;
    core::queue_length waiting;
    core::slot_count slots;
    // How long work takes now; 100 is as usual.
    core::percentage pace{100};
};
struct load_reported
{
    worker_load load;
};
// The worker turned a call away although a slot seemed free.
struct worker_rejected
{};
struct slots_changed
{
    core::slot_count slots;
};
struct time_passed
{};
// The worker is leaving: what waits is refused and nothing new is taken.
struct leave_started
{};
struct leave_ended
{};
using event = std::variant<offered, body_arrived, cancelled, run_ended,
                           load_reported, worker_rejected, slots_changed,
                           time_passed, leave_started, leave_ended>;

// Actions.
struct ask_for_body
{
    core::call_id call;
};
// Invariant: at most once for each call, and never after its refusal.
struct start
{
    core::call_id call;
};
struct refuse
{
    core::call_id call;
    core::error_kind kind;
    // When there may be room.
    core::milliseconds retry_after{0};
};
using action = std::variant<ask_for_body, start, refuse>;

struct queue_settings
{
    core::slot_count slots{1};
    intake_settings intake;
    // Calls that cannot be answered within their aim any more but may wait for
    // a slot, as a share of the slots.
    core::percentage late_waiting{50};
    // No calls are sent to a worker that has rejected one for this long.
    core::milliseconds rejection_pause{15};
    // A worker's report of calls that are not ours is believed for this long.
    core::milliseconds foreign_believed{400};
};

class slot_queue
{
public:
    explicit slot_queue(queue_settings settings)
        : settings_(settings), intake_(settings.intake)
    {}

    std::vector<action> handle(event const& it, core::instant now);

    std::optional<core::instant> next_wake() const;

    std::size_t running() const { return running_.size(); }
    std::size_t waiting() const { return waiting_.size(); }
    core::slot_count slots() const { return settings_.slots; }
    core::percentage pace() const { return pace_; }
    // Expected time until a slot is free for a call that goes before all that
    // wait, and for one that goes after them.
    core::milliseconds wait_first(core::instant now) const;
    core::milliseconds wait_last(core::instant now) const;
    // Expected time until all bodies that are awaited have arrived.
    core::milliseconds wait_for_bodies() const;
    core::bytes_per_second body_rate() const { return intake_.rate(); }

private:
    using actions = std::vector<action>;

    struct queued
    {
        admission::job job;
        core::duration expected;
        // Invariant: false while the body is awaited.
        bool ready = true;
        bool body_asked = false;
    };
    struct active
    {
        core::route_name route;
        core::instant since;
        core::duration expected;
    };

    void on(offered const& it, core::instant now, actions& out);
    void on(body_arrived const& it, core::instant now, actions& out);
    void on(cancelled const& it, core::instant now, actions& out);
    void on(run_ended const& it, core::instant now, actions& out);
    void on(load_reported const& it, core::instant now, actions& out);
    void on(worker_rejected const&, core::instant now, actions& out);
    void on(slots_changed const& it, core::instant now, actions& out);
    void on(time_passed const&, core::instant now, actions& out);
    void on(leave_started const&, core::instant now, actions& out);
    void on(leave_ended const&, core::instant now, actions& out);

    void start_waiting(core::instant now, actions& out);
    void drop_hopeless(core::instant now, actions& out);
    std::size_t usable_slots(core::instant now) const;
    core::duration expected(core::route_name const& route) const;
    // Ranks a call among those that wait; lower goes first.
    struct precedence
    {
        bool yields_to_nested;
        core::rank rank;
        bool late;
        core::instant aim;

        friend bool operator<(precedence const& a, precedence const& b)
        {
            return std::tie(a.yields_to_nested, a.rank, a.late, a.aim) <
                   std::tie(b.yields_to_nested, b.rank, b.late, b.aim);
        }
    };
    static precedence precedence_of(queued const& it, core::instant now);
    // Time until a slot is free for a call that yields to all with a lower
    // precedence; to everything that waits where there is none.
    core::duration wait_behind(std::optional<precedence> const& place,
                               core::instant now) const;
    // Time until the body of a newcomer has arrived; zero where it has none.
    core::duration wait_for_body(queued const& newcomer,
                                 core::instant now) const;
    void ask_for_bodies(core::instant now, actions& out);
    void forget(core::call_id const& call);
    std::size_t late_limit() const;
    // Refuses late calls over the limit, the latest first.
    void trim_late(core::instant now, actions& out);
    core::milliseconds room_in(core::instant now) const;

    queue_settings settings_;
    body_intake intake_;
    service_times times_;
    std::map<core::call_id, queued> waiting_;
    std::map<core::call_id, active> running_;
    bool leaving_ = false;
    core::percentage pace_{100};
    // Calls at the worker that this queue did not start.
    std::size_t foreign_ = 0;
    core::instant foreign_at_{};
    core::instant paused_until_{};
};

} // namespace yuccafall::admission

#endif
