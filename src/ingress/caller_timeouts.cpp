// Keeps the longest recent timeout of each route.
#include "ingress/caller_timeouts.hpp"

#include <algorithm>
#include <utility>

namespace yuccafall::ingress {

core::milliseconds caller_timeouts::route_timeouts::longest() const
{
    return std::max(longest_in_period, longest_before);
}

core::milliseconds
caller_timeouts::time_since_first_request(core::route_name const& route,
                                          core::milliseconds timeout)
{
    record(route, timeout);
    auto const elapsed = routes_.at(route).longest() - timeout;
    return elapsed < max_network_delay ? core::milliseconds(0) : elapsed;
}

void caller_timeouts::record(core::route_name const& route,
                             core::milliseconds timeout)
{
    auto& it = routes_[route];
    if (it.requests_in_period == requests_per_period)
    {
        it.longest_before =
            std::exchange(it.longest_in_period, core::milliseconds(0));
        it.requests_in_period = 0;
    }
    it.longest_in_period = std::max(it.longest_in_period, timeout);
    ++it.requests_in_period;
    ++it.recent_requests;
    if (++recent_requests_ > max_recent_requests)
    {
        halve_counts();
    }
    longest_timeout_ = find_longest_timeout();
}

void caller_timeouts::halve_counts()
{
    recent_requests_ = 0;
    for (auto it = routes_.begin(); it != routes_.end();)
    {
        it->second.recent_requests /= 2;
        recent_requests_ += it->second.recent_requests;
        it =
            it->second.recent_requests == 0 ? routes_.erase(it) : std::next(it);
    }
}

core::milliseconds caller_timeouts::find_longest_timeout() const
{
    core::milliseconds longest_of_all{0};
    core::milliseconds longest{0};
    for (auto const& [route, it] : routes_)
    {
        longest_of_all = std::max(longest_of_all, it.longest());
        bool const has_enough_requests =
            it.recent_requests >= min_requests &&
            it.recent_requests * 100 >=
                recent_requests_ * min_request_share.value();
        longest =
            has_enough_requests ? std::max(longest, it.longest()) : longest;
    }
    return longest.count() > 0 ? longest : longest_of_all;
}

bool caller_timeouts::is_nested(core::route_name const& route,
                                core::milliseconds max_nested_timeout) const
{
    auto const found = routes_.find(route);
    if (found == routes_.end())
    {
        return false;
    }
    auto const timeout = found->second.longest();
    if (timeout == longest_timeout_)
    {
        return timeout <= max_nested_timeout;
    }
    return timeout * 100 <=
           longest_timeout_ * static_cast<long>(max_nested_share.value());
}

} // namespace yuccafall::ingress
