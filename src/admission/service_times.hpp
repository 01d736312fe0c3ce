// How long calls of each route take in a slot of one worker.
#ifndef YUCCAFALL_ADMISSION_SERVICE_TIMES_HPP
#define YUCCAFALL_ADMISSION_SERVICE_TIMES_HPP

#include <map>

#include "core/ids.hpp"
#include "core/units.hpp"

namespace yuccafall::admission {

// Exponentially weighted means. A route that has not run here yet is taken to
// be like all others together.
class service_times
{
public:
    void observe(core::route_name const& route, core::duration took);

    core::duration expected(core::route_name const& route) const;
    core::duration mean() const { return all_; }

private:
    // Assumed before anything has been observed: the order of magnitude of
    // the work of both deployments.
    static constexpr core::milliseconds assumed{100};
    // Share of a new observation; about the last ten count.
    static constexpr int newest_percent = 10;
    // A configuration may name thousands of routes; few are busy at once.
    static constexpr std::size_t most_routes = 256;

    std::map<core::route_name, core::duration> routes_;
    core::duration all_{assumed};
};

} // namespace yuccafall::admission

#endif
