// What the control thread tells the traffic threads: an immutable snapshot
// that a request uses from start to end.
#ifndef YUCCAFALL_INGRESS_TRAFFIC_VIEW_HPP
#define YUCCAFALL_INGRESS_TRAFFIC_VIEW_HPP

#include <map>
#include <memory>
#include <set>
#include <vector>

#include "balancing/upstream_scores.hpp"
#include "poison/suspect_list.hpp"
#include "routing/route_index.hpp"
#include "upstream/owner.hpp"

namespace yuccafall::ingress {

struct traffic_view
{
    // Null until the first configuration.
    std::shared_ptr<routing::route_index const> routes;
    std::map<core::service_name, std::vector<balancing::upstream>> upstreams;
    // Workers at the address beside this node.
    std::vector<upstream::listed_worker> beside;
    core::node_count nodes{1};
    // Requests that crash the workers which run them.
    std::set<poison::fingerprint> poisoned;
};

} // namespace yuccafall::ingress

#endif
