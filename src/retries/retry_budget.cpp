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
    return fixed_part() + it.recent_requests *
                              (settings_.ratio.value() / 100.0) *
                              (settings_.saved_ratio_share.value() / 100.0);
}

retry_budget::bucket& retry_budget::refill(core::service_name const& service,
                                           core::instant now)
{
    auto& it = buckets_[service];
    if (it.refilled_at == core::instant{})
    {
        it.tokens = fixed_part();
    }
    else
    {
        // A bucket that is full at the start of a window and refills once
        // within it would allow twice the fixed part in that window. Half the
        // refill rate limits this to one and a half times the fixed part.
        auto const elapsed_windows =
            std::chrono::duration<double>(now - it.refilled_at) /
            std::chrono::duration<double>(settings_.window);
        auto const decay = std::exp(-elapsed_windows);
        it.recent_requests *= decay;
        if (it.tokens < 0)
        {
            // Retries count only within the window in which they were made.
            it.tokens *= decay;
        }
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
    it.recent_requests += 1 - repeat_share;
    auto const tokens_per_request = settings_.ratio.value() / 100.0 *
                                    settings_.used_ratio_share.value() / 100.0;
    it.tokens += tokens_per_request * (1 - repeat_share) - repeat_share;
}

bool retry_budget::try_take(core::service_name const& service,
                            core::instant now)
{
    auto& it = refill(service, now);
    if (it.tokens < 1)
    {
        return false;
    }
    it.tokens -= 1;
    return true;
}

} // namespace yuccafall::retries
