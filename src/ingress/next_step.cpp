// Implements the rules for retries and redirects of a call.
#include "ingress/next_step.hpp"

#include <algorithm>

#include "core/overloaded.hpp"

namespace yuccafall::ingress {

namespace {

bool time_is_left(call_progress const& call)
{
    return call.remaining > call.usual / 2;
}

bool workers_are_left(call_progress const& call)
{
    return call.workers_reached < call.most_attempts.value();
}

next_step after_refusal(call_progress const& call, attempt_refused const& how)
{
    give_up const end{
        how.kind, std::max(call.retry_after, how.retry_after), {}};
    if (!time_is_left(call) || how.kind == core::error_kind::expired ||
        how.kind == core::error_kind::poisoned)
    {
        return end;
    }
    if (how.had_alternative && how.kind == core::error_kind::overloaded &&
        !how.reached_worker)
    {
        return try_another{false, true};
    }
    if (how.reached_worker)
    {
        return workers_are_left(call) ? next_step(try_another{true}) : end;
    }
    return call.redirects < most_redirects ? next_step(try_another{false})
                                           : end;
}

next_step after_failure(call_progress const& call, attempt_failed const& how)
{
    bool const may_repeat = routing::is_idempotent(call.kind) &&
                            workers_are_left(call) && time_is_left(call) &&
                            how.kind != core::error_kind::deadline_passed;
    if (may_repeat)
    {
        return try_another{true};
    }
    return give_up{how.kind, {}, how.detail};
}

next_step after_path_loss(call_progress const& call, path_lost const& how)
{
    if (how.may_have_run)
    {
        return after_failure(call,
                             {core::error_kind::upstream_failed, how.reason});
    }
    return after_refusal(
        call, {core::error_kind::no_upstream, call.retry_after, false});
}

} // namespace

next_step decide(call_progress const& call, attempt_end const& how)
{
    return std::visit(
        core::overloaded{
            [&](attempt_refused const& it) { return after_refusal(call, it); },
            [&](attempt_failed const& it) { return after_failure(call, it); },
            [&](path_lost const& it) { return after_path_loss(call, it); }},
        how);
}

} // namespace yuccafall::ingress
