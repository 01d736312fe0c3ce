// Keeps the cold rate of the local worker: passes events to the warm-up
// monitor and the worker's service times to the slowdown detector, requests the
// worker's health responses, and logs and counts what comes of it.
#ifndef YUCCAFALL_UPSTREAM_WORKER_WARM_UP_HPP
#define YUCCAFALL_UPSTREAM_WORKER_WARM_UP_HPP

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "admission/queue_messages.hpp"
#include "admission/slowdown_detector.hpp"
#include "admission/warm_up_monitor.hpp"
#include "routing/configuration.hpp"
#include "upstream/counters.hpp"
#include "upstream/local_workers.hpp"
#include "upstream/worker_client.hpp"
#include "upstream/worker_outcome.hpp"

namespace yuccafall::upstream {

// Not thread-safe: each object is used on the traffic thread only.
class worker_warm_up : public std::enable_shared_from_this<worker_warm_up>
{
public:
    using rate_handler =
        std::function<void(admission::cold_rate_changed const&)>;

    // The handler is called when the cold rate in force may have changed.
    worker_warm_up(boost::asio::io_context& context,
                   std::shared_ptr<worker_client> client,
                   std::shared_ptr<counters> counters,
                   rate_handler on_rate_changed);

    // Sets what the configuration in force states of the worker's service.
    void set_service(routing::service const& it);
    void set_workers(std::vector<listed_worker> const& workers);

    // Records that a call was offered, with the limits that the caller's node
    // knows. Must be called before the call may start.
    void
    record_offer(std::optional<core::warm_up_limits> const& offered_limits);
    void set_calls_wait(bool calls_wait);
    // Records what the end of a run shows. `run_time` is the time since the
    // start of the run, and `canceled` states whether the call was canceled.
    void record_outcome(worker_outcome const& it, core::route_name const& route,
                        core::duration run_time, bool canceled);
    void close();

private:
    // Records that the worker has responded to a call.
    void record_response();
    // Records that it has done so after it has run the call.
    void record_answered_run(admission::answered_run const& it);
    // Records an event after which the worker may be cold.
    void record_doubt(admission::warm_up_source cause);
    void handle_event(admission::warm_up_event const& it);
    void apply(admission::request_health const&);
    void apply(admission::state_changed const& it);
    void on_health_outcome(health_outcome const& it);
    void set_timer();

    boost::asio::steady_timer timer_;
    // When the timer expires. Empty if it is not set.
    std::optional<core::instant> timer_due_;
    std::shared_ptr<worker_client> client_;
    std::shared_ptr<counters> counters_;
    rate_handler on_rate_changed_;
    admission::warm_up_monitor monitor_;
    admission::slowdown_detector slowdown_detector_;
    std::string health_path_;
    // Ids of the listed workers whose data centre is evacuated.
    std::set<core::upstream_id> evacuated_;
    bool calls_wait_ = false;
};

} // namespace yuccafall::upstream

#endif
