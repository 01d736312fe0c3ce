// Computes the replication topology: which nodes read the store, and which
// nodes each node connects to for replication.
//
// Every node computes the same topology from the list of workers. The nodes of
// a data centre are ranked by a hash of their addresses. The first
// readers_per_data_centre nodes of the ranking read the store; they are called
// its readers. A node to which another node opens a connection to receive
// changes is a source of that node. The nodes that are not readers form a tree
// below the readers: each node receives changes from two nodes of the level
// above, so the depth grows with the logarithm of the data centre's size.
// Readers have each other and readers of other data centres as sources, and
// every other node has one source in another data centre.
#ifndef YUCCAFALL_REPLICATION_TOPOLOGY_HPP
#define YUCCAFALL_REPLICATION_TOPOLOGY_HPP

#include <map>
#include <set>
#include <vector>

#include "core/endpoint.hpp"
#include "core/ids.hpp"

namespace yuccafall::replication {

// The endpoint at which a node accepts control connections, and the data centre
// that the node runs in.
struct node_location
{
    core::endpoint control;
    core::data_centre data_centre;
};

// The place of one node in the replication topology.
struct node_role
{
    bool reads_store = true;
    // The control addresses of the nodes to which this node opens connections.
    std::set<core::endpoint> sources;
};

inline constexpr std::size_t readers_per_data_centre = 2;
// Number of nodes in the next level for each node of a level.
inline constexpr std::size_t fan_out = 8;
// Maximum number of other data centres that a reader connects to.
inline constexpr std::size_t max_peer_data_centres = 3;

node_role role_of(node_location const& self,
                  std::vector<node_location> const& nodes);

} // namespace yuccafall::replication

#endif
