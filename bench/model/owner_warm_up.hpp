// What upstream::worker_warm_up does in a node: passes events to the warm-up
// monitor and service times to the slowdown detector, and carries out the
// actions that follow, on the simulated clock.
#ifndef YUCCAFALL_BENCH_MODEL_OWNER_WARM_UP_HPP
#define YUCCAFALL_BENCH_MODEL_OWNER_WARM_UP_HPP

#include <functional>
#include <optional>

#include "admission/queue_messages.hpp"
#include "admission/slowdown_detector.hpp"
#include "admission/warm_up_monitor.hpp"
#include "bench/model/cold_worker.hpp"
#include "bench/model/event_queue.hpp"
#include "bench/model/simulation.hpp"

namespace yuccafall::bench::model {

class owner_warm_up
{
public:
    using rate_handler =
        std::function<void(admission::cold_rate_changed const&)>;

    // The worker, the events and the rules must outlive this object.
    owner_warm_up(event_queue& events, cold_worker const& worker,
                  policy const& rules, rate_handler on_rate_changed)
        : events_(&events), worker_(&worker), rules_(&rules),
          on_rate_changed_(std::move(on_rate_changed))
    {}

    void set_limits(core::warm_up_limits const& limits);
    // The worker has crashed while no call ran, which shows with the next
    // offer.
    void record_lost_idle_connections() { has_lost_connections_ = true; }
    void record_offer();
    void set_calls_wait(bool calls_wait);
    void record_answered_run(admission::answered_run const& it);
    void record_doubt(admission::warm_up_source cause);

    std::uint64_t health_requests() const { return health_requests_; }

private:
    void record_slowdown();
    void handle_event(admission::warm_up_event const& it);
    void apply(admission::request_health const&);
    void apply(admission::state_changed const& it);
    void on_health_response();

    event_queue* events_;
    cold_worker const* worker_;
    policy const* rules_;
    rate_handler on_rate_changed_;
    admission::warm_up_monitor monitor_;
    admission::slowdown_detector slowdown_detector_;
    bool has_lost_connections_ = false;
    bool calls_wait_ = false;
    std::uint64_t health_requests_ = 0;
    // When a health request was last sent because of a slowdown.
    std::optional<core::instant> slow_requested_at_;
    // Time of the earliest timer event that is scheduled.
    std::optional<core::instant> next_timer_;
};

} // namespace yuccafall::bench::model

#endif
