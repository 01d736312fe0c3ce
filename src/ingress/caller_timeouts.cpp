// Keeps the longest timeout seen on each route.
#include "ingress/caller_timeouts.hpp"

#include <algorithm>

namespace yuccafall::ingress {

core::milliseconds
caller_timeouts::elapsed_before(core::route_name const& route,
                                core::milliseconds timeout)
{
    auto& longest = longest_timeouts_[route];
    longest = std::max(longest, timeout);
    auto const elapsed = longest - timeout;
    return elapsed < max_network_delay ? core::milliseconds(0) : elapsed;
}

} // namespace yuccafall::ingress
