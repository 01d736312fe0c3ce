// Implements what is kept of the attempts of a call.
#include "ingress/attempt_history.hpp"

#include <algorithm>

#include "core/overloaded.hpp"

namespace yuccafall::ingress {

using core::error_kind;

namespace {

balancing::outcome outcome_of_refusal(error_kind kind)
{
    switch (kind)
    {
    case error_kind::no_upstream:
    case error_kind::leaving:
        return balancing::outcome::unreachable;
    case error_kind::wrong_upstream:
        return balancing::outcome::address_reused;
    // A refusal as evacuated says nothing about the worker.
    case error_kind::evacuated:
    default:
        return balancing::outcome::refused;
    }
}

// Adds the upstreams in the data centres to the set.
void add_upstreams_in(std::set<core::data_centre> const& data_centres,
                      std::vector<balancing::upstream> const& upstreams,
                      std::set<core::upstream_id>& to)
{
    if (data_centres.empty())
    {
        return;
    }
    for (auto const& it : upstreams)
    {
        if (data_centres.count(it.data_centre) != 0)
        {
            to.insert(it.id);
        }
    }
}

} // namespace

balancing::outcome outcome_of(attempt_result const& it)
{
    return std::visit(
        core::overloaded{
            [](attempt_refused const& r) { return outcome_of_refusal(r.kind); },
            [](attempt_failed const& r) {
                return r.kind == error_kind::deadline_passed
                           ? balancing::outcome::abandoned
                           : balancing::outcome::failed;
            },
            [](connection_lost const&) {
                return balancing::outcome::unreachable;
            }},
        it);
}

void attempt_history::record_offer(core::upstream_id const& upstream,
                                   bool requires_free_slot)
{
    tried_upstreams_.insert(upstream);
    offers_for_free_slot_ += requires_free_slot ? 1 : 0;
}

void attempt_history::record_end(attempt_result const& result)
{
    bool const reached_worker = std::visit(
        core::overloaded{
            [](attempt_refused const& it) { return it.reached_worker; },
            [](attempt_failed const&) { return true; },
            [](connection_lost const& it) { return it.may_have_run; }},
        result);
    if (reached_worker)
    {
        ++workers_reached_;
        may_have_run_ =
            may_have_run_ || !std::holds_alternative<attempt_refused>(result);
    }
}

void attempt_history::record_step(next_step const& step,
                                  attempt_result const& result,
                                  balancing::upstream const& from)
{
    update_retry_after(step, result);
    auto const* another = std::get_if<try_another>(&step);
    if (another == nullptr)
    {
        return;
    }
    if (another->may_reselect_upstream)
    {
        tried_upstreams_.erase(from.id);
        return;
    }
    if (another->avoid_data_centre)
    {
        avoided_data_centres_.insert(from.data_centre);
    }
    redirects_ +=
        another->uses_retry_budget || another->avoid_data_centre ? 0 : 1;
}

// Keeps the shortest retry delay that any refusal has stated. The refusal of an
// offer that required a free slot does not count if the same worker may be
// chosen again, since it says nothing about the queue of the worker. The
// refusal by a node in an evacuated data centre states no delay.
void attempt_history::update_retry_after(next_step const& step,
                                         attempt_result const& result)
{
    auto const* refused = std::get_if<attempt_refused>(&result);
    auto const* another = std::get_if<try_another>(&step);
    if (refused == nullptr ||
        (another != nullptr &&
         (another->may_reselect_upstream || another->avoid_data_centre)))
    {
        return;
    }
    retry_after_ = retry_after_.count() == 0
                       ? refused->retry_after
                       : std::min(retry_after_, refused->retry_after);
}

std::set<core::upstream_id> attempt_history::excluded_upstreams(
    std::vector<balancing::upstream> const& upstreams,
    std::set<core::data_centre> const& evacuated) const
{
    auto out = tried_upstreams_;
    add_upstreams_in(evacuated, upstreams, out);
    add_upstreams_in(avoided_data_centres_, upstreams, out);
    return out;
}

call_progress attempt_history::progress(routing::route const& route,
                                        core::milliseconds remaining) const
{
    call_progress progress;
    progress.repeatability = route.kind;
    progress.max_attempts = route.attempts;
    progress.workers_reached = workers_reached_;
    progress.redirects = redirects_;
    progress.remaining = remaining;
    progress.expected_duration = route.target_latency / 2;
    progress.retry_after = retry_after_;
    return progress;
}

error_kind attempt_history::kind_for_caller(error_kind it) const
{
    bool const states_not_run =
        core::error_kind_info_for(it).ran == core::call_execution::not_run;
    return may_have_run_ && states_not_run ? error_kind::upstream_failed : it;
}

} // namespace yuccafall::ingress
