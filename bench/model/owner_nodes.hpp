// Simulates the node beside a worker: the queue of the calls that were offered
// to the worker, and the results that the callers' nodes get.
#ifndef YUCCAFALL_BENCH_MODEL_OWNER_NODES_HPP
#define YUCCAFALL_BENCH_MODEL_OWNER_NODES_HPP

#include <cstdint>
#include <functional>
#include <memory>
#include <utility>

#include "bench/model/caller_nodes.hpp"
#include "bench/model/simulation_state.hpp"

namespace yuccafall::bench::model {

// What the simulation does with a call that has got a slot.
struct slot_handlers
{
    // Sends the request to the worker. Returns false if the worker is away.
    std::function<bool(node&, core::call_id const&)> reach_worker;
    std::function<void(node&, core::call_id const&)> start_run;
};

class owner_nodes
{
public:
    // The state and the nodes must outlive this object.
    owner_nodes(simulation_state& state, caller_nodes& nodes,
                slot_handlers handlers)
        : state_(&state), caller_nodes_(&nodes), handlers_(std::move(handlers))
    {}

    void handle_offer(node& worker_node,
                      std::shared_ptr<call_state> const& call,
                      bool has_alternative);
    // Passes an event to the queue of the node, carries out the actions that
    // follow and schedules the queue's next timer event.
    void handle_event(node& worker_node, admission::event const& event);
    // Tells the node that offered the call that it got no response.
    void send_attempt_result(node& worker_node,
                             std::shared_ptr<call_state> const& call,
                             ingress::attempt_result const& result);

    // Fills in the results of a simulation that has ended.
    void measure(simulation_result& out) const;

private:
    // Counts whether the call waits or was refused beside a free worker.
    void count_offer(node const& worker_node, call_state const& call,
                     core::call_id const& id);
    void execute(node& worker_node, admission::call_lost const& action);
    void execute(node& worker_node, admission::request_body const& action);
    void execute(node& worker_node, admission::refuse_call const& action);
    void execute(node& worker_node, admission::start_call const& action);

    simulation_state* state_;
    caller_nodes* caller_nodes_;
    slot_handlers handlers_;
    std::uint64_t last_call_number_ = 0;
    double total_wait_ms_ = 0;
    std::uint64_t wait_count_ = 0;
    // The members of simulation_result with these names.
    std::uint64_t offers_ = 0;
    std::uint64_t waits_beside_free_worker_ = 0;
    std::uint64_t refusals_beside_free_worker_ = 0;
};

} // namespace yuccafall::bench::model

#endif
