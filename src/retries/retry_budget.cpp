// Implements a token bucket for each service. Requests and elapsed time both
// refill it; each retry takes one token.
#include "retries/retry_budget.hpp"

#include <algorithm>
#include <cmath>

namespace yuccafall::retries {

double retry_budget::fixed_part() const
{
    auto const nodes =
        std::max<double>(1, static_cast<double>(node_count_.value()));
    return std::max(1.0, settings_.slack.value() *
                             (settings_.used_slack_share.value() / 100.0) /
                             nodes);
}

double retry_budget::capacity(bucket const& it) const
{
    return fixed_part() + (it.current_requests + it.previous_requests) *
                              (settings_.ratio.value() / 100.0) *
                              (settings_.saved_ratio_share.value() / 100.0);
}

void retry_budget::forget_requests(bucket& it, core::instant now) const
{
    auto const half = settings_.window / 2;
    auto const elapsed = now - it.half_started_at;
    if (elapsed < half)
    {
        return;
    }
    it.previous_requests = elapsed < 2 * half ? it.current_requests : 0;
    it.current_requests = 0;
    it.half_started_at = elapsed < 2 * half ? it.half_started_at + half : now;
}

retry_budget::bucket& retry_budget::refill(core::service_name const& service,
                                           core::instant now)
{
    auto& it = buckets_[service];
    if (it.refilled_at == core::instant{})
    {
        it.tokens = fixed_part();
        it.half_started_at = now;
    }
    else
    {
        // A bucket that is full at the start of a window and refills once
        // within it would allow twice the fixed part in that window. Half the
        // refill rate limits this to one and a half times the fixed part.
        auto const elapsed_windows =
            std::chrono::duration<double>(now - it.refilled_at) /
            std::chrono::duration<double>(settings_.window);
        if (it.tokens < 0)
        {
            // Retries count only within the window in which they were made.
            it.tokens *= std::exp(-elapsed_windows);
        }
        forget_requests(it, now);
        it.tokens = std::min(capacity(it),
                             it.tokens + fixed_part() * elapsed_windows / 2);
    }
    it.refilled_at = now;
    return it;
}

void retry_budget::record_request(core::service_name const& service,
                                  core::instant now, double repeat_share)
{
    auto& it = refill(service, now);
    it.current_requests += 1 - repeat_share;
    auto const tokens_per_request = settings_.ratio.value() / 100.0 *
                                    settings_.used_ratio_share.value() / 100.0;
    it.tokens += tokens_per_request * (1 - repeat_share) - repeat_share;
}

bool retry_budget::may_take(core::service_name const& service,
                            core::instant now)
{
    return refill(service, now).tokens >= 1;
}

bool retry_budget::try_take(core::service_name const& service,
                            core::instant now)
{
    if (!may_take(service, now))
    {
        return false;
    }
    buckets_[service].tokens -= 1;
    return true;
}

} // namespace yuccafall::retries
