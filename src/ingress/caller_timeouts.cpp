// Keeps the longest timeout seen on each route.
#include "ingress/caller_timeouts.hpp"

#include <algorithm>

namespace yuccafall::ingress {

core::milliseconds
caller_timeouts::time_since_first_request(core::route_name const& route,
                                          core::milliseconds timeout)
{
    auto& max_timeout = max_timeouts_[route];
    max_timeout = std::max(max_timeout, timeout);
    auto const elapsed = max_timeout - timeout;
    return elapsed < max_network_delay ? core::milliseconds(0) : elapsed;
}

} // namespace yuccafall::ingress
