// Tracks the service time of each route at one worker: how long a call of the
// route holds a slot.
#ifndef YUCCAFALL_ADMISSION_SERVICE_TIMES_HPP
#define YUCCAFALL_ADMISSION_SERVICE_TIMES_HPP

#include <map>

#include "core/ids.hpp"
#include "core/units.hpp"

namespace yuccafall::admission {

// Keeps exponentially weighted moving averages. A route that has not run at
// this worker yet gets the average over all routes.
class service_times
{
public:
    void observe(core::route_name const& route, core::duration service_time);

    // Returns the average of the route.
    core::duration expected(core::route_name const& route) const;
    // Returns the average over all routes.
    core::duration mean() const { return overall_mean_; }

private:
    // Mean before the first sample. The service times of both deployments are
    // of this order of magnitude.
    static constexpr core::milliseconds initial_mean{100};
    // Weight of a new sample in the moving average. About the last ten samples
    // determine the average.
    static constexpr int sample_weight_percent = 10;
    // Limits the number of routes with an average of their own. All of these
    // averages are discarded when a further route would exceed the limit. A
    // configuration may name thousands of routes, but only a few are busy at
    // the same time.
    static constexpr std::size_t max_routes = 256;

    std::map<core::route_name, core::duration> route_means_;
    core::duration overall_mean_{initial_mean};
};

} // namespace yuccafall::admission

#endif
