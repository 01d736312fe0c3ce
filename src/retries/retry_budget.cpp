// Implements a token bucket for each service. Requests and elapsed time both
// refill it.
#include "retries/retry_budget.hpp"

#include <algorithm>

namespace yuccafall::retries {

// Returns this node's part of the fixed number of retries in a window.
double retry_budget::most() const
{
    auto const nodes = std::max<double>(1, static_cast<double>(nodes_.value()));
    return std::max(1.0, settings_.slack.value() *
                             (settings_.used.value() / 100.0) / nodes);
}

retry_budget::account& retry_budget::refilled(core::service_name const& of,
                                              core::instant now)
{
    auto& it = accounts_[of];
    if (it.refilled == core::instant{})
    {
        it.tokens = most();
    }
    else
    {
        // A bucket that is full at the start of a window and refills once
        // within it would allow twice its capacity in that window. Half the
        // refill rate limits this to one and a half times the capacity.
        auto const share = std::chrono::duration<double>(now - it.refilled) /
                           std::chrono::duration<double>(settings_.window);
        it.tokens = std::min(most(), it.tokens + most() * share / 2);
    }
    it.refilled = now;
    return it;
}

void retry_budget::requested(core::service_name const& of, core::instant now)
{
    auto& it = refilled(of, now);
    auto const part =
        settings_.ratio.value() / 100.0 * settings_.used.value() / 100.0;
    it.tokens = std::min(most() + 4, it.tokens + part);
}

bool retry_budget::take(core::service_name const& of, core::instant now)
{
    auto& it = refilled(of, now);
    if (it.tokens < 1)
    {
        return false;
    }
    it.tokens -= 1;
    return true;
}

} // namespace yuccafall::retries
