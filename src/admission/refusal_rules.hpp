// The rules by which a queue refuses a new call that would have to wait. The
// nodes that receive callers' requests use the same rules to refuse calls that
// every queue would refuse.
#ifndef YUCCAFALL_ADMISSION_REFUSAL_RULES_HPP
#define YUCCAFALL_ADMISSION_REFUSAL_RULES_HPP

#include <cstddef>

#include "core/units.hpp"

namespace yuccafall::admission {

// After a shorter delay, a caller would retry before one running call has ended
// and freed a slot.
inline constexpr core::milliseconds min_retry_after{30};
// A peak in demand is over after this delay. Callers wait for at most a third
// of the time that they have left, so a longer delay would have no effect.
inline constexpr core::milliseconds max_retry_after{2'000};

// Limit on late calls in a queue, as a percentage of the slots.
inline constexpr core::percentage default_max_late_share{50};

// Service times are skewed: half of all calls end before the mean, earlier by
// about this part of it. A call is refused as late only if that is probable,
// since its caller would come back with less time left.
inline constexpr int mean_to_median_divisor = 3;

// Returns whether a call with this expected end would miss its deadline. A call
// that just meets its deadline by the estimate fails half of the time, after it
// has held a slot.
inline bool would_miss_deadline(core::instant ends_at,
                                core::duration service_time,
                                core::instant deadline)
{
    return ends_at + service_time / 2 > deadline;
}

// Returns whether a call with this expected end would probably end after its
// target time.
inline bool is_probably_late(core::instant ends_at, core::duration service_time,
                             core::instant target_time)
{
    return ends_at - service_time / mean_to_median_divisor > target_time;
}

// Returns the number of waiting calls from which on a new late call is refused.
inline std::size_t max_late_calls(core::slot_count slots,
                                  core::percentage max_late_share)
{
    return static_cast<std::size_t>(slots.value()) * max_late_share.value() /
           100;
}

} // namespace yuccafall::admission

#endif
