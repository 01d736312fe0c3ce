// The load of a worker as the node beside it reports it to other nodes.
#ifndef YUCCAFALL_BALANCING_LOAD_REPORT_HPP
#define YUCCAFALL_BALANCING_LOAD_REPORT_HPP

#include <cstddef>
#include <vector>

#include "core/stated_rate.hpp"
#include "core/units.hpp"

namespace yuccafall::balancing {

// Maximum number of ranks whose waits a report states. It bounds the size of
// the reports; deployments have fewer ranks.
inline constexpr std::size_t max_rank_waits = 8;

struct rank_wait
{
    core::rank rank;
    core::milliseconds wait{0};
};

// The load of a worker. The node beside the worker sends it with each response
// or refusal, and when the load changes.
struct load_report
{
    core::slot_count running;
    core::queue_length waiting;
    core::slot_count slots;
    // Expected time until a slot is free for a new nested call, which goes
    // behind the nested calls that wait and ahead of all others, and for a new
    // call behind all of them (back).
    core::milliseconds wait_for_nested{0};
    core::milliseconds wait_at_back{0};
    // Expected time until the link of the worker's VM has carried the long
    // bodies of all calls that wait or run, and the rate at which it carries
    // them. Both directions count, and the longer one determines the time. The
    // rate is 0 if it is not known.
    core::milliseconds wait_for_bodies{0};
    core::bytes_per_second body_rate{0};
    // Current service time as a percentage of the usual one. A slow worker has
    // more than 100.
    core::percentage relative_service_time{100};
    // Percentage of the recent calls to the worker that it rejected or left
    // without a response.
    core::percentage rejection_share;
    // The two waits above include the time until the rate allows a call.
    core::stated_rate rate;
    // The rate that the node beside the worker keeps to because the worker is
    // or may be cold, or rate_unknown if it keeps to none. The two waits above
    // include it.
    core::stated_rate cold_rate;
    // Expected time until a slot is free for a new call that is neither nested
    // nor late, for each rank of which such calls wait. It includes the times
    // until the rates allow a call. Empty if no calls wait that are not nested,
    // or if the node beside the worker does not state these waits.
    // Invariant: each rank occurs once, and there are at most max_rank_waits.
    std::vector<rank_wait> waits_by_rank;
};

// Returns the expected time until a slot is free for a new call, counted from
// the time of the report. `rank` has no effect for a nested call. A rank that
// the report does not list has the wait of the next more urgent rank in the
// list or, if there is none, the wait ahead of all calls that are not nested.
core::milliseconds wait_for_call(load_report const& load, bool nested,
                                 core::rank rank);

} // namespace yuccafall::balancing

#endif
