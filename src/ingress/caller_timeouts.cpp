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
    longest_timeout_ = std::max(longest_timeout_, timeout);
    auto const elapsed = max_timeout - timeout;
    return elapsed < max_network_delay ? core::milliseconds(0) : elapsed;
}

bool caller_timeouts::is_nested(core::route_name const& route,
                                core::milliseconds max_nested_timeout) const
{
    auto const found = max_timeouts_.find(route);
    if (found == max_timeouts_.end())
    {
        return false;
    }
    if (found->second == longest_timeout_)
    {
        return found->second <= max_nested_timeout;
    }
    return found->second * 100 <=
           longest_timeout_ * static_cast<long>(max_nested_share.value());
}

void caller_timeouts::clear()
{
    max_timeouts_.clear();
    longest_timeout_ = {};
}

} // namespace yuccafall::ingress
