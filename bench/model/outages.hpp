// Simulates power cuts, evacuations, cold periods and crashes of cold workers:
// what becomes of the workers, and what the nodes beside them do about it.
#ifndef YUCCAFALL_BENCH_MODEL_OUTAGES_HPP
#define YUCCAFALL_BENCH_MODEL_OUTAGES_HPP

#include <functional>
#include <memory>

#include "bench/model/event_queue.hpp"
#include "bench/model/simulated_node.hpp"
#include "bench/model/simulation.hpp"
#include "ingress/next_step.hpp"

namespace yuccafall::bench::model {

// What the simulation does for the outages.
struct outage_handlers
{
    // Passes an event to the queue of the node.
    std::function<void(node&, admission::event const&)> handle_event;
    // Tells the node that offered the call that it got no response from the
    // worker of this node.
    std::function<void(node&, std::shared_ptr<call_state> const&,
                       ingress::attempt_result const&)>
        end_attempt;
};

class outages
{
public:
    // The references must outlive this object.
    outages(event_queue& events, deployment const& spec, policy const& rules,
            node_list const& nodes, upstream_lists& upstreams,
            outage_handlers handlers)
        : events_(&events), spec_(&spec), rules_(&rules), nodes_(&nodes),
          upstreams_(&upstreams), handlers_(std::move(handlers))
    {}

    // Schedules the outages of the deployment and gives the nodes the limits
    // for cold workers.
    void start();

    // Sends the request of a call to the worker, which may crash because of it.
    // Returns false if the worker is away.
    bool reach_worker(node& worker_node, core::call_id const& id);

    // Fills in the results of a simulation that has ended.
    void measure(simulation_result& out) const;

private:
    void start_warm_up(node& it);
    void schedule(double s, std::function<void()> action);
    void start_evacuation(std::size_t data_centre_index);
    void end_evacuation(std::size_t data_centre_index);
    // All workers that are not away become cold.
    void start_cold_periods();
    // The worker ends, and its connections close. It returns cold.
    void crash(node& worker_node, core::duration away);
    // The worker got more requests than it can take while it is cold.
    void crash_of_overload(node& worker_node);
    void fail_run(node& worker_node, core::call_id const& id);
    // The worker could not be reached, so that it does not have the call.
    void refuse_as_unreachable(node& worker_node, core::call_id const& id);
    // Ends a run without a response, because of the cause.
    void end_run(node& worker_node, core::call_id const& id,
                 admission::warm_up_source cause,
                 ingress::attempt_result const& result);

    event_queue* events_;
    deployment const* spec_;
    policy const* rules_;
    node_list const* nodes_;
    upstream_lists* upstreams_;
    outage_handlers handlers_;
    // Those that upstreams_ lacks because their data centre is evacuated.
    upstream_lists evacuated_;
    // End of the last power cut or evacuation, or 0 if there is none.
    double ends_at_s_ = 0;
    std::uint64_t cold_crashes_ = 0;
};

} // namespace yuccafall::bench::model

#endif
