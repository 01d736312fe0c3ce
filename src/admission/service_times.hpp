// Tracks how long calls of each route hold a slot of one worker.
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

    core::duration expected(core::route_name const& route) const;
    core::duration mean() const { return overall_mean_; }

private:
    // Estimate before the first sample. It is the order of magnitude of the
    // service times in both deployments.
    static constexpr core::milliseconds initial_estimate{100};
    // Weight of a new sample in the average. The last ten samples or so
    // determine the result.
    static constexpr int sample_weight_percent = 10;
    // Bounds the number of averages kept. A configuration may name thousands of
    // routes, but only a few are busy at the same time.
    static constexpr std::size_t max_routes = 256;

    std::map<core::route_name, core::duration> route_means_;
    core::duration overall_mean_{initial_estimate};
};

} // namespace yuccafall::admission

#endif
