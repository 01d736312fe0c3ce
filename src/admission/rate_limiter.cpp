// Implements the spacing of calls.
#include "admission/rate_limiter.hpp"

#include <algorithm>

namespace yuccafall::admission {

core::duration call_interval(core::stated_rate const& it,
                             rate_limiter_settings const& settings)
{
    auto const* limited = std::get_if<core::rate_limited>(&it);
    if (limited == nullptr)
    {
        return core::duration::zero();
    }
    core::duration const thousand_seconds = std::chrono::seconds(1'000);
    auto const limit = static_cast<core::duration::rep>(limited->limit.value());
    return std::min<core::duration>(
        settings.max_interval,
        thousand_seconds / std::max<core::duration::rep>(limit, 1));
}

void rate_limiter::state(core::stated_rate const& it, core::instant now)
{
    bool const was_limited = is_limited();
    stated_ = it;
    interval_ = call_interval(it, settings_);
    if (!is_limited())
    {
        return;
    }
    // A worker that begins to limit its rate has enough work, so no burst is
    // allowed at first.
    auto const latest = now + settings_.burst;
    due_ = was_limited ? std::min(due_, latest + interval_) : latest;
}

core::duration rate_limiter::wait(std::size_t calls_ahead,
                                  core::instant now) const
{
    if (!is_limited())
    {
        return core::duration::zero();
    }
    auto const due =
        std::max(due_, now) + interval_ * static_cast<long>(calls_ahead);
    return std::max(due - settings_.burst - now, core::duration::zero());
}

void rate_limiter::record_start(core::instant now)
{
    if (is_limited())
    {
        due_ = std::max(due_, now) + interval_;
    }
}

} // namespace yuccafall::admission
