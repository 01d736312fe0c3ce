// Implements the construction of the simulated nodes.
#include "bench/model/simulation_state.hpp"

#include <memory>
#include <string>
#include <utility>

#include "bench/model/distributions.hpp"

namespace yuccafall::bench::model {

simulation_state::simulation_state(deployment const& own_spec,
                                   policy const& own_rules, std::uint64_t seed)
    : spec(own_spec), rules(own_rules), random(seed), started_at(events.now())
{
    make_nodes();
}

double simulation_state::elapsed_s() const
{
    return to_ms(events.now() - started_at) / 1000;
}

void simulation_state::make_nodes()
{
    std::size_t node_index = 0;
    for (auto const& service : spec.services)
    {
        std::size_t index_in_service = 0;
        for (std::size_t data_centre_index = 0;
             data_centre_index < spec.data_centres.size(); ++data_centre_index)
        {
            for (std::size_t n = 0; n < service.workers[data_centre_index]; ++n)
            {
                add_node(service, data_centre_index, node_index++,
                         index_in_service++);
            }
        }
    }
    for (auto& it : nodes)
    {
        it->retry_budget.set_nodes(core::node_count(nodes.size()));
        it->scores.set_nodes(core::node_count(nodes.size()));
        nodes_by_data_centre[it->data_centre_index].push_back(it.get());
    }
}

void simulation_state::add_node(service const& service,
                                std::size_t data_centre_index,
                                std::size_t node_index,
                                std::size_t index_in_service)
{
    balancing::choice_settings choice_settings;
    choice_settings.own_data_centre = spec.data_centres[data_centre_index];
    choice_settings.spreads_load = rules.spreads_load;
    admission::queue_settings queue_settings;
    queue_settings.slots = spec.slots;
    queue_settings.body_pacing.link_bandwidth =
        rules.paces_bodies ? spec.link_bandwidth : core::bytes_per_second(0);
    core::upstream_id const id("w" + std::to_string(node_index));
    auto it = std::make_unique<node>(data_centre_index, id, choice_settings,
                                     queue_settings, retries::budget_settings{},
                                     spec.link_bandwidth);
    it->service_time_factor =
        service.service_time_factors[index_in_service %
                                     service.service_time_factors.size()];
    for (auto const& disturbance : spec.disturbances)
    {
        it->is_slowed = it->is_slowed ||
                        random.unit() < disturbance.slow_worker_probability;
    }
    balancing::upstream upstream;
    upstream.id = id;
    upstream.data_centre = spec.data_centres[data_centre_index];
    upstream.slots = spec.slots;
    upstreams[service.name].push_back(upstream);
    nodes_by_id[id] = it.get();
    nodes.push_back(std::move(it));
}

} // namespace yuccafall::bench::model
