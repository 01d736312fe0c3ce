// What a worker has stated about the rate at which it takes requests.
#ifndef YUCCAFALL_CORE_STATED_RATE_HPP
#define YUCCAFALL_CORE_STATED_RATE_HPP

#include <variant>

#include "core/units.hpp"

namespace yuccafall::core {

// No response of the worker is known.
struct rate_unknown
{};
// The most recent response of the worker stated no limit.
struct rate_unlimited
{};
// The worker takes this many requests a second from all nodes together.
struct rate_limited
{
    millihertz limit;
};
using stated_rate = std::variant<rate_unknown, rate_unlimited, rate_limited>;

} // namespace yuccafall::core

#endif
