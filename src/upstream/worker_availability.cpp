// Implements the rules by which workers may get calls.
#include "upstream/worker_availability.hpp"

#include <utility>

namespace yuccafall::upstream {

using core::error_kind;

void worker_availability::record_unreachable(core::instant now)
{
    unreachable_until_ = now + unreachable_backoff;
}

bool worker_availability::start_draining()
{
    return !std::exchange(draining_, true);
}

std::optional<offer_refusal>
worker_availability::refusal_of_offer(core::upstream_id const& id,
                                      core::instant now) const
{
    if (workers_.is_evacuated(id))
    {
        return offer_refusal{error_kind::evacuated};
    }
    if (workers_.leaves(id, now))
    {
        return offer_refusal{error_kind::leaving};
    }
    if (workers_.is_replaced(id))
    {
        return offer_refusal{error_kind::wrong_upstream};
    }
    if (now < unreachable_until_)
    {
        return offer_refusal{error_kind::no_upstream, unreachable_backoff};
    }
    return std::nullopt;
}

std::optional<error_kind>
worker_availability::refusal_of_all_calls(core::instant now) const
{
    if (draining_)
    {
        return error_kind::leaving;
    }
    if (workers_.all_evacuated())
    {
        return error_kind::evacuated;
    }
    // Calls that wait for a draining worker are refused, since another worker
    // can run them sooner.
    if (workers_.all_leave(now))
    {
        return error_kind::leaving;
    }
    return std::nullopt;
}

} // namespace yuccafall::upstream
