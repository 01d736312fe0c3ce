// Spaces the calls to a worker that has stated a limit on its rate of requests.
//
// This is the generic cell rate algorithm. Each call advances a due time by the
// interval between two calls, and a call may start if the due time is at most
// the burst time ahead. Within any period, the number of calls therefore
// exceeds the limit by no more than a burst and one call.
#ifndef YUCCAFALL_ADMISSION_RATE_LIMITER_HPP
#define YUCCAFALL_ADMISSION_RATE_LIMITER_HPP

#include <cstddef>

#include "core/stated_rate.hpp"
#include "core/units.hpp"

namespace yuccafall::admission {

struct rate_limiter_settings
{
    // Calls that were not started within this time may be made up for. It is
    // short, since the worker has asked for less work.
    core::milliseconds burst{250};
    // Longest interval between two calls. A worker with a lower limit, or a
    // limit of zero, still gets some calls: only its responses tell when the
    // limit ends.
    core::milliseconds max_interval{2'000};
};

class rate_limiter
{
public:
    explicit rate_limiter(rate_limiter_settings settings = {})
        : settings_(settings)
    {}

    // Applies what the worker has stated most recently.
    void state(core::stated_rate const& it, core::instant now);
    core::stated_rate const& stated() const { return stated_; }

    // Returns the time until a call may start if `calls_ahead` calls start
    // before it.
    core::duration wait(std::size_t calls_ahead, core::instant now) const;
    void record_start(core::instant now);

private:
    bool is_limited() const { return interval_ > core::duration::zero(); }

    rate_limiter_settings settings_;
    core::stated_rate stated_;
    // Zero if there is no limit.
    core::duration interval_{};
    // Invariant: at most the burst time and one interval ahead of the last time
    // that was passed.
    core::instant due_{};
};

// Returns the interval between two calls at the rate, or zero if the rate
// states no limit.
core::duration call_interval(core::stated_rate const& it,
                             rate_limiter_settings const& settings = {});

} // namespace yuccafall::admission

#endif
