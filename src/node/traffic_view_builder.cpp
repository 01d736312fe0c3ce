// Derives the lists of the view from the list of workers and the evacuations.
#include "node/traffic_view_builder.hpp"

#include <algorithm>

namespace yuccafall::node {

traffic_view_builder&
traffic_view_builder::workers(membership::worker_directory const& directory,
                              membership::evacuations const& evacuated,
                              core::port_number traffic_port)
{
    view_.evacuated = evacuated.data_centres();
    std::set<core::ip_address> nodes;
    for (auto const& it : directory.eligible_workers())
    {
        nodes.insert(it.address.address);
        auto& upstreams = evacuated.contains(it.data_centre)
                              ? view_.evacuated_upstreams
                              : view_.upstreams;
        upstreams[it.service].push_back({it.id,
                                         it.started,
                                         {it.address.address, traffic_port},
                                         it.data_centre,
                                         it.slots});
    }
    view_.nodes = core::node_count(std::max<std::size_t>(nodes.size(), 1));
    return *this;
}

traffic_view_builder& traffic_view_builder::local_workers(
    membership::worker_directory const& directory,
    membership::evacuations const& evacuated,
    core::endpoint const& local_worker)
{
    for (auto const& [id, it] : directory.known_workers())
    {
        if (it.address == local_worker)
        {
            view_.local_workers.push_back(
                {id, it.started, it.slots,
                 it.state == membership::worker_state::draining,
                 evacuated.contains(it.data_centre), it.warm_up_remaining});
        }
    }
    return *this;
}

traffic_view_builder& traffic_view_builder::local_service(
    std::shared_ptr<routing::route_index const> const& routes,
    core::service_name const& name)
{
    if (routes)
    {
        auto const& services = routes->source_configuration().services;
        auto const found = services.find(name);
        view_.local_service =
            found == services.end() ? routing::service() : found->second;
    }
    return *this;
}

traffic_view_builder&
traffic_view_builder::suspects(poison::suspect_list const& it,
                               core::instant now)
{
    view_.poisoned = it.poisoned(now);
    view_.suspects = it.suspects(now);
    return *this;
}

} // namespace yuccafall::node
