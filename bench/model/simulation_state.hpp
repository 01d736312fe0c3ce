// What all parts of a simulation share: the deployment, the simulated clock,
// the random numbers, the network and the nodes.
#ifndef YUCCAFALL_BENCH_MODEL_SIMULATION_STATE_HPP
#define YUCCAFALL_BENCH_MODEL_SIMULATION_STATE_HPP

#include <cstdint>
#include <map>
#include <vector>

#include "bench/model/deployment.hpp"
#include "bench/model/event_queue.hpp"
#include "bench/model/network.hpp"
#include "bench/model/simulated_node.hpp"
#include "bench/model/simulation.hpp"
#include "core/random.hpp"

namespace yuccafall::bench::model {

struct simulation_state
{
    // Makes the nodes of the deployment.
    simulation_state(deployment const& own_spec, policy const& own_rules,
                     std::uint64_t seed);
    // Other objects refer to the members.
    simulation_state(simulation_state const&) = delete;
    simulation_state& operator=(simulation_state const&) = delete;

    // Returns the simulated time since the start.
    double elapsed_s() const;

    // The network refers to the first, the second and the fourth of these.
    deployment spec;
    policy rules;
    core::random_source random;
    event_queue events;
    model::network network{events, spec, rules};
    core::instant started_at;
    node_list nodes;
    // The same nodes, by their id and by the index of their data centre.
    std::map<core::upstream_id, node*> nodes_by_id;
    std::map<std::size_t, std::vector<node*>> nodes_by_data_centre;
    // Without the workers of evacuated data centres.
    upstream_lists upstreams;

private:
    void make_nodes();
    void add_node(service const& service, std::size_t data_centre_index,
                  std::size_t node_index, std::size_t index_in_service);
};

} // namespace yuccafall::bench::model

#endif
