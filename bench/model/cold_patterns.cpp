// Defines the patterns in which workers are cold. The services,
// the requests and the callers are those of the pattern uneven-workers.
#include "bench/model/deployment.hpp"

namespace yuccafall::bench::model {

namespace {

// A cold worker crashes above the rate times 1.5, plus 8 requests.
cold_behaviour make_cold_behaviour()
{
    cold_behaviour it;
    it.limits = {core::millihertz(16'000), core::milliseconds(3'000)};
    it.max_arrivals = 16 * 3 / 2 + 8;
    return it;
}

} // namespace

deployment make_cold_workers()
{
    auto it = make_uneven_workers();
    it.cold = make_cold_behaviour();
    it.power_cuts = {{5, 7}};
    it.duration_s = 20;
    return it;
}

deployment make_evacuation()
{
    auto it = make_uneven_workers();
    it.cold = make_cold_behaviour();
    it.evacuations = {{3, 5, 10}};
    it.duration_s = 20;
    return it;
}

// Each cold period begins during the one before it, and the last one less than
// 5 s after the health request that shows the second.
deployment make_second_cold_periods()
{
    auto it = make_cold_workers();
    it.cold_starts_s = {9, 11.5};
    return it;
}

} // namespace yuccafall::bench::model
