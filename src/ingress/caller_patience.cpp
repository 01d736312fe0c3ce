// Keeps the longest timeout seen on each route.
#include "ingress/caller_patience.hpp"

#include <algorithm>

namespace yuccafall::ingress {

core::milliseconds
caller_timeouts::time_since_first_request(core::route_name const& route,
                                          core::milliseconds timeout)
{
    auto& longest = longest_timeouts_[route];
    longest = std::max(longest, timeout);
    auto const elapsed = longest - timeout;
    return elapsed < max_network_delay ? core::milliseconds(0) : elapsed;
}

} // namespace yuccafall::ingress
