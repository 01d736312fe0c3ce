// Implements the rules for further attempts of a call.
#include "ingress/next_step.hpp"

#include <algorithm>

#include "core/overloaded.hpp"

namespace yuccafall::ingress {

namespace {

bool has_time_left(call_progress const& progress)
{
    return progress.remaining > progress.expected_duration / 2;
}

bool has_attempts_left(call_progress const& progress)
{
    return progress.workers_reached < progress.max_attempts.value();
}

next_step after_refusal(call_progress const& progress,
                        attempt_refused const& result)
{
    give_up const no_further_attempt{
        result.kind, std::max(progress.retry_after, result.retry_after), {}};
    if (!has_time_left(progress) || result.kind == core::error_kind::expired ||
        result.kind == core::error_kind::poisoned)
    {
        return no_further_attempt;
    }
    if (result.kind == core::error_kind::evacuated && !result.reached_worker)
    {
        return try_another{false, false, true};
    }
    if (result.required_free_slot &&
        result.kind == core::error_kind::overloaded && !result.reached_worker)
    {
        return try_another{false, true};
    }
    if (result.reached_worker)
    {
        return has_attempts_left(progress) ? next_step(try_another{true})
                                           : no_further_attempt;
    }
    return progress.redirects < max_redirects ? next_step(try_another{false})
                                              : no_further_attempt;
}

next_step after_failure(call_progress const& progress,
                        attempt_failed const& result)
{
    bool const may_retry = routing::is_idempotent(progress.repeatability) &&
                           has_attempts_left(progress) &&
                           has_time_left(progress) &&
                           result.kind != core::error_kind::deadline_passed;
    if (may_retry)
    {
        return try_another{true};
    }
    return give_up{result.kind, {}, result.detail};
}

next_step after_connection_loss(call_progress const& progress,
                                connection_lost const& result)
{
    if (result.may_have_run)
    {
        return after_failure(
            progress, {core::error_kind::upstream_failed, result.reason});
    }
    return after_refusal(
        progress, {core::error_kind::no_upstream, progress.retry_after, false});
}

} // namespace

next_step decide_next_step(call_progress const& progress,
                           attempt_result const& result)
{
    return std::visit(core::overloaded{[&](attempt_refused const& it) {
                                           return after_refusal(progress, it);
                                       },
                                       [&](attempt_failed const& it) {
                                           return after_failure(progress, it);
                                       },
                                       [&](connection_lost const& it) {
                                           return after_connection_loss(
                                               progress, it);
                                       }},
                      result);
}

unresponsive_node_step
decide_on_unresponsive_node(call_progress const& progress, bool may_have_run)
{
    auto after = progress;
    after.workers_reached += may_have_run ? 1 : 0;
    auto const step =
        decide_next_step(after, connection_lost{may_have_run, {}});
    auto const* const another = std::get_if<try_another>(&step);
    return another != nullptr ? unresponsive_node_step(*another)
                              : unresponsive_node_step(keep_waiting{});
}

} // namespace yuccafall::ingress
