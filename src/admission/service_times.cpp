// Computes the moving averages of service times.
#include "admission/service_times.hpp"

namespace yuccafall::admission {

namespace {

core::duration blend(core::duration old, core::duration it, int percent)
{
    return old + (it - old) * percent / 100;
}

} // namespace

void service_times::observe(core::route_name const& route, core::duration took)
{
    all_ = blend(all_, took, newest_percent);
    auto const found = routes_.find(route);
    if (found != routes_.end())
    {
        found->second = blend(found->second, took, newest_percent);
        return;
    }
    if (routes_.size() >= most_routes)
    {
        routes_.clear();
    }
    routes_.emplace(route, took);
}

core::duration service_times::expected(core::route_name const& route) const
{
    auto const found = routes_.find(route);
    return found == routes_.end() ? all_ : found->second;
}

} // namespace yuccafall::admission
