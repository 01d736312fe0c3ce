// Reports how the calls that were offered to the local worker ended: replies to
// the nodes that offered them, counts the ends, and writes the log lines.
#ifndef YUCCAFALL_UPSTREAM_CALL_REPORTER_HPP
#define YUCCAFALL_UPSTREAM_CALL_REPORTER_HPP

#include <functional>
#include <memory>

#include "admission/slot_queue.hpp"
#include "balancing/load_report.hpp"
#include "core/units.hpp"
#include "upstream/call_table.hpp"
#include "upstream/counters.hpp"
#include "upstream/worker_availability.hpp"
#include "upstream/worker_outcome.hpp"

namespace yuccafall::upstream {

// Not thread-safe: each object is used on the traffic thread only.
class call_reporter
{
public:
    using load_function = std::function<balancing::load_report()>;

    // The queue and the availability must outlive the object. The function
    // returns the current load of the worker, which each reply states.
    call_reporter(admission::slot_queue const& queue,
                  worker_availability const& availability, load_function load,
                  std::shared_ptr<counters> counters);

    // Reports a call that was refused, by this node or by the worker. It
    // reached the worker if it was sent to it.
    void refuse(call_entry const& call, offer_refusal const& refusal,
                bool reached_worker = false) const;
    // Reports a call that the worker has answered.
    void report_response(call_entry const& call, http::response response,
                         core::milliseconds run_time) const;
    // Reports a call to which the worker has sent no valid response.
    void report_failure(call_entry const& call, worker_failed outcome) const;
    // Reports a call that the worker does not have, although it was sent to it.
    // No reply is sent, since the call has not ended.
    void report_loss(call_entry const& call) const;

private:
    // Returns whether the worker of the call has stated that it leaves.
    bool worker_leaves(call_entry const& call) const;

    admission::slot_queue const& queue_;
    worker_availability const& availability_;
    load_function load_;
    std::shared_ptr<counters> counters_;
};

} // namespace yuccafall::upstream

#endif
