// Distributes the requests of a route among its target services by weight.
#ifndef YUCCAFALL_ROUTING_WEIGHTED_SPLIT_HPP
#define YUCCAFALL_ROUTING_WEIGHTED_SPLIT_HPP

#include <cstdint>
#include <map>
#include <vector>

#include "routing/configuration.hpp"

namespace yuccafall::routing {

// Smooth weighted round robin: among any number of successive requests of a
// route, each target gets its share to within one request, and the requests of
// one target are interleaved with those of the others.
class weighted_split
{
public:
    // Selects the target for the next request of the route.
    core::service_name const& next(route const& it);

    // Discards all state. To be called for each new configuration, which may
    // have removed routes or changed weights.
    void reset() { routes_.clear(); }

private:
    struct split_state
    {
        // The credit of each target of the route, in the order of the route's
        // targets. Invariant: the sum is zero between calls of next().
        std::vector<std::int64_t> credit;
    };

    std::map<core::route_name, split_state> routes_;
};

} // namespace yuccafall::routing

#endif
