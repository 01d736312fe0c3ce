// Simulates a node that has received a call from a client or from its own
// worker and offers it to workers.
#ifndef YUCCAFALL_BENCH_MODEL_CALLER_NODES_HPP
#define YUCCAFALL_BENCH_MODEL_CALLER_NODES_HPP

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <utility>

#include "bench/model/simulation_state.hpp"
#include "ingress/next_step.hpp"

namespace yuccafall::bench::model {

// Ends a call at the caller's node, once.
void end_call(call_state& call, call_outcome const& outcome);

class caller_nodes
{
public:
    // Handles an offer that has arrived at the node of a worker. The last
    // argument is true if another worker may have a free slot.
    using offer_handler = std::function<void(
        node&, std::shared_ptr<call_state> const&, bool has_alternative)>;

    // The state must outlive this object.
    caller_nodes(simulation_state& state, offer_handler on_offer)
        : state_(&state), on_offer_(std::move(on_offer))
    {}

    void start_call(std::shared_ptr<call_state> const& call,
                    core::milliseconds timeout);
    // Handles the end of an attempt that brought no response.
    void handle_attempt_end(std::shared_ptr<call_state> const& call,
                            node& worker_node,
                            ingress::attempt_result const& result,
                            balancing::load_report const& load);

    std::uint64_t refused_at_first_node() const
    {
        return refused_at_first_node_;
    }

private:
    // Offers the call to an upstream that the scores select, or refuses the
    // call if there is none.
    void offer_call(std::shared_ptr<call_state> const& call);
    // Returns the retry delay of a call that is refused at the caller's node,
    // or nothing if the call is offered.
    std::optional<core::milliseconds>
    first_node_retry_delay(call_state const& call,
                           balancing::chosen const& choice);
    void avoid_data_centre(call_state& call, node const& worker_node);

    simulation_state* state_;
    offer_handler on_offer_;
    std::uint64_t refused_at_first_node_ = 0;
};

} // namespace yuccafall::bench::model

#endif
