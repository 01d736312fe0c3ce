// Defines the immutable snapshot of the configuration and the workers that the
// control thread publishes to the traffic thread. The control thread receives
// both; the traffic thread handles requests. A request uses one snapshot from
// start to end.
#ifndef YUCCAFALL_INGRESS_TRAFFIC_VIEW_HPP
#define YUCCAFALL_INGRESS_TRAFFIC_VIEW_HPP

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

#include "balancing/upstream_scores.hpp"
#include "poison/suspect_list.hpp"
#include "routing/route_index.hpp"
#include "upstream/local_workers.hpp"

namespace yuccafall::ingress {

struct traffic_view
{
    // The pointer is null until the first configuration arrives.
    std::shared_ptr<routing::route_index const> routes;
    // The workers of each service that may receive calls.
    std::map<core::service_name, std::vector<balancing::upstream>> upstreams;
    // Nothing may be offered to the workers of these data centres.
    std::set<core::data_centre> evacuated;
    // The workers of each service that are left out of `upstreams` because
    // their data centres are evacuated.
    std::map<core::service_name, std::vector<balancing::upstream>>
        evacuated_upstreams;
    // The platform lists these workers at the local worker's address.
    std::vector<upstream::listed_worker> local_workers;
    // What the configuration states of the local worker's service. Empty until
    // the first configuration arrives.
    std::optional<routing::service> local_service;
    // Number of nodes that share the retry budget.
    core::node_count nodes{1};
    // These requests crash the workers that run them.
    std::set<poison::fingerprint> poisoned;
    // These requests were running when a worker crashed. They include those in
    // `poisoned`.
    std::set<poison::fingerprint> suspects;
};

} // namespace yuccafall::ingress

#endif
