// Shares the requests of a route among its targets by weight.
#ifndef YUCCAFALL_ROUTING_WEIGHTED_SPLIT_HPP
#define YUCCAFALL_ROUTING_WEIGHTED_SPLIT_HPP

#include <cstdint>
#include <map>
#include <vector>

#include "routing/configuration.hpp"

namespace yuccafall::routing {

// Smooth weighted round robin: of any run of requests each target gets its
// share to within one request, and requests of one target are spread out.
class weighted_split
{
public:
    core::service_name const& next(route const& it);

    // Forgets routes that no longer exist and counts of other weights.
    void renew() { routes_.clear(); }

private:
    struct counts
    {
        // Invariant: one for each target; they sum to zero between calls.
        std::vector<std::int64_t> credit;
    };

    std::map<core::route_name, counts> routes_;
};

} // namespace yuccafall::routing

#endif
