// Decides whether a call is refused at the node that has received the caller's
// request, because the queues of all workers that were compared for it would
// refuse it. In a large service these are a random sample.
//
// The decision has no state: it depends on the load reports alone, so it admits
// all calls as soon as the reports show room or are too old. Some of the calls
// that would be refused are admitted, so that reports continue to arrive.
#ifndef YUCCAFALL_ADMISSION_FIRST_NODE_ADMISSION_HPP
#define YUCCAFALL_ADMISSION_FIRST_NODE_ADMISSION_HPP

#include <string_view>
#include <variant>
#include <vector>

#include "balancing/candidate_estimate.hpp"
#include "core/random.hpp"
#include "core/units.hpp"

namespace yuccafall::admission {

struct first_node_call
{
    // A nested call is always admitted, because the request that makes it holds
    // a slot.
    bool nested = false;
    core::instant deadline;
    // A response by this time meets the target latency of the route.
    core::instant target_time;
};

struct first_node_admitted
{
    // The queues would refuse the call by the estimates. It is admitted so that
    // they report their load.
    bool as_probe = false;
};

enum class first_node_reason
{
    // The call would end after its deadline.
    past_deadline,
    // The call would end after its target time while many calls wait.
    late,
};

struct first_node_refused
{
    // Time until the caller should send the request again, with a random part.
    core::milliseconds retry_after{0};
    // The three members below are those of the worker with the shortest wait.
    first_node_reason reason = first_node_reason::late;
    core::milliseconds wait{0};
    core::milliseconds report_age{0};
};

using first_node_decision =
    std::variant<first_node_admitted, first_node_refused>;

// Returns the reason as it stands in log lines.
std::string_view name_of(first_node_reason reason);

first_node_decision decide_first_node_admission(
    first_node_call const& call,
    std::vector<balancing::candidate_estimate> const& candidates,
    core::instant now, core::random_source& random);

} // namespace yuccafall::admission

#endif
