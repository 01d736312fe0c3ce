// The calls that hold a slot of one worker, and those among them that the
// worker has lost.
//
// A lost call was sent to the worker, which neither runs it nor has it waiting,
// and will not respond. Some workers drop calls so when they are full. The load
// reports of the worker show how many calls it has.
#ifndef YUCCAFALL_ADMISSION_RUNNING_CALLS_HPP
#define YUCCAFALL_ADMISSION_RUNNING_CALLS_HPP

#include <map>
#include <optional>
#include <vector>

#include "admission/queue_messages.hpp"
#include "core/ids.hpp"
#include "core/units.hpp"

namespace yuccafall::admission {

struct running_call
{
    core::route_name route;
    core::instant started_at;
    core::duration expected_service_time;
    bool nested = false;
    // The worker does not have the call.
    bool lost = false;
};

class running_calls
{
public:
    void add(core::call_id const& call, running_call it);
    // Returns the call, or nothing if it does not run.
    std::optional<running_call> remove(core::call_id const& call,
                                       core::instant now);

    // Returns the number of calls that hold a slot. Lost calls hold none.
    std::size_t count() const { return calls_.size() - lost_count_; }
    // Includes the calls that are lost.
    std::map<core::call_id, running_call> const& all() const { return calls_; }

    // Returns the calls that the worker does not have, by the number of calls
    // that it reports. Each call is returned once.
    std::vector<core::call_id> find_lost(load_reported const& report,
                                         core::instant now);

    // Returns the expected time for which the calls will hold their slots,
    // added up.
    core::duration remaining_time(core::instant now) const;

    // Returns the share of the slots' time that nested calls have used
    // recently, from 0 to 1.
    double nested_slot_share() const;

private:
    using call_map = std::map<core::call_id, running_call>;
    struct overdue_call
    {
        // Time since the start as a multiple of the usual service time.
        double ratio;
        call_map::iterator position;
    };

    // Returns how long the call has run as a multiple of its usual time.
    static double overdue_ratio(running_call const& it, core::instant now);

    call_map calls_;
    // Invariant: the number of calls in calls_ that are lost.
    std::size_t lost_count_ = 0;
    // Decaying sums of the time for which calls have held slots.
    double slot_time_ms_ = 0;
    double nested_slot_time_ms_ = 0;
};

} // namespace yuccafall::admission

#endif
