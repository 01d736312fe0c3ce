// Builds the view that the control thread publishes to the traffic thread.
//
// The result is a function of the current configuration, list of workers, set
// of evacuated data centres and list of suspects, whatever the order of the
// events that led to them. No I/O.
#ifndef YUCCAFALL_NODE_TRAFFIC_VIEW_BUILDER_HPP
#define YUCCAFALL_NODE_TRAFFIC_VIEW_BUILDER_HPP

#include <memory>

#include "core/endpoint.hpp"
#include "ingress/traffic_view.hpp"
#include "membership/evacuations.hpp"
#include "membership/worker_directory.hpp"
#include "poison/suspect_list.hpp"

namespace yuccafall::node {

class traffic_view_builder
{
public:
    traffic_view_builder& routes(std::shared_ptr<routing::route_index const> it)
    {
        view_.routes = std::move(it);
        return *this;
    }
    // Lists the workers that may get calls, and counts the nodes. Every node
    // accepts calls at the port `traffic_port` of its address. Workers of
    // evacuated data centres get no calls, but the nodes beside them count.
    traffic_view_builder& workers(membership::worker_directory const& directory,
                                  membership::evacuations const& evacuated,
                                  core::port_number traffic_port);
    // Lists the workers at the local worker's address.
    traffic_view_builder&
    local_workers(membership::worker_directory const& directory,
                  membership::evacuations const& evacuated,
                  core::endpoint const& local_worker);
    // States what the configuration says of the local worker's service. Without
    // a configuration nothing is stated.
    traffic_view_builder&
    local_service(std::shared_ptr<routing::route_index const> const& routes,
                  core::service_name const& name);
    traffic_view_builder& suspects(poison::suspect_list const& it,
                                   core::instant now);

    std::shared_ptr<ingress::traffic_view const> build()
    {
        return std::make_shared<ingress::traffic_view const>(std::move(view_));
    }

private:
    ingress::traffic_view view_;
};

} // namespace yuccafall::node

#endif
