// What a worker has stated about the rate at which it takes requests.
#ifndef YUCCAFALL_CORE_STATED_RATE_HPP
#define YUCCAFALL_CORE_STATED_RATE_HPP

#include <optional>
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

// Returns the limit, or nothing if the rate has none.
inline std::optional<millihertz> limit_of(stated_rate const& it)
{
    auto const* limited = std::get_if<rate_limited>(&it);
    return limited == nullptr ? std::nullopt : std::optional(limited->limit);
}

} // namespace yuccafall::core

#endif
