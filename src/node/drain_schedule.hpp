// Decides what a node does, and when, from SIGTERM until its process ends.
//
// The node keeps taking requests at first, since the platform notices only
// after a while that it is not ready. A request that it takes must have its
// response before the process ends.
#ifndef YUCCAFALL_NODE_DRAIN_SCHEDULE_HPP
#define YUCCAFALL_NODE_DRAIN_SCHEDULE_HPP

#include <cstddef>
#include <variant>
#include <vector>

#include "core/units.hpp"

namespace yuccafall::node {

struct drain_settings
{
    // Time that the platform allows from SIGTERM to the end of the process.
    core::milliseconds max_time{6'000};
    // The platform checks readiness once a second and sends no new callers to
    // the node after two failed checks. The node waits this long for requests
    // of callers that were sent to it before that.
    core::milliseconds min_time{2'800};
    // How long a draining node still passes calls to its worker, which keeps
    // running, so that its slots are used.
    core::milliseconds worker_delay{1'800};
    // If no new request has arrived for this long, all callers are assumed to
    // have moved to other nodes.
    core::milliseconds quiet_period{700};
    // Parts of max_time at its end: for the process to exit, and before that
    // for the last responses to be written.
    core::milliseconds exit_reserve{500};
    core::milliseconds response_reserve{300};
};

// What the traffic thread has left to do.
struct traffic_state
{
    // Number of callers' requests whose response has not been written yet.
    std::size_t requests_open = 0;
    // Number of calls that are running in the worker.
    std::size_t running = 0;
    // When the last request of a caller arrived.
    core::instant last_request{};
};

// New and waiting calls to the worker are refused from now on.
struct drain_worker
{};
// New requests of callers are refused from now on.
struct refuse_requests
{};
struct end_process
{};
using drain_action = std::variant<drain_worker, refuse_requests, end_process>;

class drain_schedule
{
public:
    drain_schedule(drain_settings settings, core::instant started_at)
        : settings_(settings), started_at_(started_at)
    {}

    // Returns when the last call must have its response.
    core::instant calls_end_at() const;

    // Must be called at intervals until it returns end_process.
    std::vector<drain_action> handle(traffic_state const& state,
                                     core::instant now);

private:
    drain_settings settings_;
    core::instant started_at_;
    bool worker_drains_ = false;
    bool refuses_requests_ = false;
};

} // namespace yuccafall::node

#endif
