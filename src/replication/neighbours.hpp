// Which nodes read the store, and with whom each node exchanges what it holds.
//
// All nodes compute the same from the list of workers. Within a data centre
// nodes have a rank by a hash of their addresses; the first ones read the
// store, and each other node gets changes from two nodes of the level above, so
// that the depth grows with the logarithm of the data centre's size. Readers
// exchange with readers of other data centres, and every node has one source in
// another data centre.
#ifndef YUCCAFALL_REPLICATION_NEIGHBOURS_HPP
#define YUCCAFALL_REPLICATION_NEIGHBOURS_HPP

#include <map>
#include <set>
#include <vector>

#include "core/endpoint.hpp"
#include "core/ids.hpp"

namespace yuccafall::replication {

struct node_place
{
    core::endpoint control;
    core::data_centre data_centre;
};

struct neighbourhood
{
    bool reads_store = true;
    // Connections that this node opens.
    std::set<core::endpoint> sources;
};

inline constexpr std::size_t readers_per_data_centre = 2;
// Nodes of the next level for each node of a level.
inline constexpr std::size_t fan_out = 8;
// Other data centres that a reader exchanges with.
inline constexpr std::size_t most_data_centres = 3;

neighbourhood neighbours_of(node_place const& self,
                            std::vector<node_place> const& nodes);

} // namespace yuccafall::replication

#endif
