// Counts the connections and transfers that a server has ended before their
// time. The server's thread writes the counters, and the metrics page reads
// them.
#ifndef YUCCAFALL_HTTP_CONNECTION_COUNTERS_HPP
#define YUCCAFALL_HTTP_CONNECTION_COUNTERS_HPP

#include "core/counter.hpp"

namespace yuccafall::http {

struct connection_counters
{
    // Connections that are open now.
    core::counter open{0};
    // Idle connections that were closed in favour of new ones.
    core::counter idle_closed{0};
    // New connections that were closed because no open one was idle.
    core::counter refused{0};
    // Responses whose readers were slower than the minimum rate.
    core::counter slow_responses_ended{0};
    // Responses that were ended because others needed the memory.
    core::counter responses_ended_for_memory{0};
    // Requests whose bodies arrived at less than the minimum rate.
    core::counter slow_bodies_ended{0};
    // Requests that were rejected because the memory of requests was used up.
    core::counter requests_without_memory{0};
};

} // namespace yuccafall::http

#endif
