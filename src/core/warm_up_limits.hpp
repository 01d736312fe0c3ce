// How many requests a worker takes while it is cold.
//
// A worker is cold for some time after its start, or after it has been without
// work. It then takes longer for each request, and it crashes if it gets many
// more than it can take.
#ifndef YUCCAFALL_CORE_WARM_UP_LIMITS_HPP
#define YUCCAFALL_CORE_WARM_UP_LIMITS_HPP

#include "core/units.hpp"

namespace yuccafall::core {

struct warm_up_limits
{
    // Requests that a cold worker takes from all nodes together. Invariant: not
    // 0.
    millihertz rate;
    // How long a worker is cold after its start.
    milliseconds duration{0};
};

inline bool operator==(warm_up_limits const& a, warm_up_limits const& b)
{
    return a.rate == b.rate && a.duration == b.duration;
}

} // namespace yuccafall::core

#endif
