// Counts the calls that are offered for the local worker and their outcomes.
#ifndef YUCCAFALL_UPSTREAM_COUNTERS_HPP
#define YUCCAFALL_UPSTREAM_COUNTERS_HPP

#include "core/counter.hpp"

namespace yuccafall::upstream {

struct counters
{
    core::counter offers{0};
    core::counter runs{0};
    core::counter refused{0};
    core::counter rejected_by_worker{0};
    core::counter failed{0};
    core::counter canceled{0};
};

} // namespace yuccafall::upstream

#endif
