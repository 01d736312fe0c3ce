// Simulates the workers: how long their runs take, and the nested calls that
// the runs make.
#ifndef YUCCAFALL_BENCH_MODEL_WORKER_RUNS_HPP
#define YUCCAFALL_BENCH_MODEL_WORKER_RUNS_HPP

#include <cstddef>
#include <cstdint>
#include <memory>

#include "bench/model/caller_nodes.hpp"
#include "bench/model/owner_nodes.hpp"
#include "bench/model/simulation_state.hpp"

namespace yuccafall::bench::model {

class worker_runs
{
public:
    // The arguments must outlive this object.
    worker_runs(simulation_state& state, caller_nodes& callers,
                owner_nodes& owners)
        : state_(&state), caller_nodes_(&callers), owner_nodes_(&owners)
    {}

    // Starts the run of a call that has got a slot.
    void start(node& worker_node, core::call_id const& id);

    // Fills in the results of a simulation that has ended.
    void measure(simulation_result& out) const;

private:
    // Nested calls that are made at the same time.
    struct nested_group
    {
        std::size_t pending = 0;
        bool failed = false;
    };

    // Runs a call until its next nested call, or until its end if no nested
    // calls are left. Nested calls that are made together count as one. The
    // remaining service time is split into equal parts: one before each nested
    // call that is left and one after the last.
    void run_part(node& worker_node, core::call_id const& id,
                  double remaining_ms, std::size_t nested_left);
    void make_nested_call(node& worker_node, core::call_id const& id,
                          std::shared_ptr<nested_group> const& group,
                          double part_ms, std::size_t nested_left);
    void end_run(node& worker_node, core::call_id const& id, bool succeeded);
    // Returns the factor by which noise and disturbances currently lengthen the
    // service times of the worker. Starts a new spell of noise if the last one
    // has ended.
    double current_slowdown(node& worker_node);
    // Without the rule, the queue does not learn that responses are long.
    std::uint64_t response_size_for_queue(request_kind const& kind) const;

    simulation_state* state_;
    caller_nodes* caller_nodes_;
    owner_nodes* owner_nodes_;
    // The members of simulation_result with these names.
    std::uint64_t nested_ = 0;
    std::uint64_t nested_failed_ = 0;
};

} // namespace yuccafall::bench::model

#endif
