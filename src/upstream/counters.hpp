// Counts the calls that nodes offer to the local worker, the one beside this
// node, and how they ended.
#ifndef YUCCAFALL_UPSTREAM_COUNTERS_HPP
#define YUCCAFALL_UPSTREAM_COUNTERS_HPP

#include "core/counter.hpp"
#include "http/response_fault.hpp"

namespace yuccafall::upstream {

struct counters
{
    core::counter offers{0};
    // Calls that were sent to the worker.
    core::counter runs{0};
    // Calls that were refused by the node or the worker.
    core::counter refused{0};
    // Those of them that were refused because the data centre is evacuated.
    core::counter evacuated{0};
    core::counter rejected_by_worker{0};
    core::counter failed{0};
    // Responses of the worker that were not used, to calls and to requests for
    // its health.
    http::response_fault_counters invalid_responses;
    http::response_fault_counters invalid_health_responses;
    core::counter canceled{0};
    // Calls that the worker does not have, although they were sent to it.
    core::counter lost{0};
    // The limit that the worker states, in thousandths of a request a second,
    // or 0 if it states none.
    core::counter rate_limit{0};
    // Calls that were started or refused after they had waited, or would have
    // had to wait, because the worker is or may be cold.
    core::counter cold_waited{0};
    core::counter cold_refused{0};
    core::counter health_requests{0};
    // The cold rate in force, in thousandths of a request a second, or 0 if
    // there is none.
    core::counter cold_rate{0};
};

} // namespace yuccafall::upstream

#endif
