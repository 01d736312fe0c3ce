// Counts the requests of callers. Traffic threads write the counters, and the
// metrics page reads them.
#ifndef YUCCAFALL_INGRESS_COUNTERS_HPP
#define YUCCAFALL_INGRESS_COUNTERS_HPP

#include <array>

#include "core/counter.hpp"
#include "core/error.hpp"
#include "core/units.hpp"

namespace yuccafall::ingress {

// These are the upper bounds of the latency buckets.
inline constexpr std::array<core::milliseconds, 10> latency_bounds{
    core::milliseconds(5),   core::milliseconds(20),   core::milliseconds(50),
    core::milliseconds(100), core::milliseconds(200),  core::milliseconds(400),
    core::milliseconds(800), core::milliseconds(1600), core::milliseconds(3200),
    core::milliseconds(6400)};

struct latency_histogram
{
    // There is one bucket per bound and one more for latencies above the last
    // bound.
    std::array<core::counter, latency_bounds.size() + 1> buckets{};
    core::counter sum_ms{0};

    void observe(core::milliseconds it)
    {
        std::size_t i = 0;
        while (i < latency_bounds.size() && it > latency_bounds[i])
        {
            ++i;
        }
        core::add(buckets[i]);
        core::add(sum_ms, static_cast<std::uint64_t>(it.count()));
    }
};

struct counters
{
    core::counter requests{0};
    core::counter answered{0};
    core::counter callers_left{0};
    core::counter offers{0};
    core::counter redirects{0};
    core::counter retries{0};
    core::counter retries_denied{0};
    // This counts error responses and is indexed by error kind.
    std::array<core::counter, core::error_kind_count> refused{};
    latency_histogram latency;
};

} // namespace yuccafall::ingress

#endif
