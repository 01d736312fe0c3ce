// Computes the moving averages of service times.
#include "admission/service_times.hpp"

namespace yuccafall::admission {

namespace {

core::duration update_mean(core::duration old_mean, core::duration sample,
                           int weight_percent)
{
    return old_mean + (sample - old_mean) * weight_percent / 100;
}

} // namespace

void service_times::observe(core::route_name const& route,
                            core::duration service_time)
{
    overall_mean_ =
        update_mean(overall_mean_, service_time, sample_weight_percent);
    auto const found = route_means_.find(route);
    if (found != route_means_.end())
    {
        found->second =
            update_mean(found->second, service_time, sample_weight_percent);
        return;
    }
    if (route_means_.size() >= max_routes)
    {
        route_means_.clear();
    }
    route_means_.emplace(route, service_time);
}

core::duration service_times::expected(core::route_name const& route) const
{
    auto const found = route_means_.find(route);
    return found == route_means_.end() ? overall_mean_ : found->second;
}

} // namespace yuccafall::admission
