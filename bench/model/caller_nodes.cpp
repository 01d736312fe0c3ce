// Implements the offers of calls to workers and what follows their refusals.
#include "bench/model/caller_nodes.hpp"

#include <algorithm>
#include <utility>

#include "admission/first_node_admission.hpp"
#include "core/overloaded.hpp"

namespace yuccafall::bench::model {

namespace {

using core::milliseconds;

// Returns what the end of an attempt shows of the worker. Null stands for a
// failed run.
balancing::outcome outcome_of(ingress::attempt_refused const* refusal)
{
    if (refusal == nullptr)
    {
        return balancing::outcome::failed;
    }
    return refusal->kind == core::error_kind::no_upstream
               ? balancing::outcome::unreachable
               : balancing::outcome::refused;
}

} // namespace

void end_call(call_state& call, call_outcome const& outcome)
{
    auto const on_end = std::move(call.on_end);
    call.on_end = nullptr;
    if (on_end)
    {
        on_end(outcome);
    }
}

void caller_nodes::start_call(std::shared_ptr<call_state> const& call,
                              milliseconds timeout)
{
    auto const& route = state_->spec.request_kinds[call->kind_index].route;
    auto const now = state_->events.now();
    call->deadline = now + std::min(timeout, route.timeout);
    call->target_time =
        now + route.target_latency -
        call->caller_node->caller_timeouts.time_since_first_request(route.name,
                                                                    timeout);
    call->caller_node->retry_budget.record_request(
        route.targets.front().service, now);
    offer_call(call);
}

void caller_nodes::offer_call(std::shared_ptr<call_state> const& call)
{
    auto const& route = state_->spec.request_kinds[call->kind_index].route;
    auto& caller_node = *call->caller_node;
    balancing::call_traits const traits{
        route.name,
        core::byte_count(static_cast<std::uint64_t>(call->body_bytes)),
        call->body_bytes > max_inline_body_bytes,
        call->nested,
        state_->network.is_paced(
            state_->spec.request_kinds[call->kind_index].response_bytes),
        route.rank};
    auto const choice = caller_node.scores.choose(
        state_->upstreams.at(route.targets.front().service),
        call->tried_upstreams, traits, state_->events.now(), state_->random);
    auto const* chosen = std::get_if<balancing::chosen>(&choice);
    if (chosen == nullptr)
    {
        end_call(*call, {call_status::refused, call->retry_after});
        return;
    }
    if (auto const retry_after = first_node_retry_delay(*call, *chosen))
    {
        end_call(*call, {call_status::refused, *retry_after});
        return;
    }
    bool const wants_free_slot =
        state_->rules.prefers_free_slots && chosen->has_alternative &&
        call->offers_for_free_slot < ingress::max_offers_for_free_slot;
    call->offers_for_free_slot += wants_free_slot ? 1 : 0;
    call->tried_upstreams.insert(chosen->target->id);
    caller_node.scores.record_sent(chosen->target->id, state_->events.now());
    auto& worker_node = *state_->nodes_by_id.at(chosen->target->id);
    auto const bytes =
        short_message_bytes +
        (call->body_bytes > max_inline_body_bytes ? 0 : call->body_bytes);
    state_->network.send(caller_node, worker_node, bytes,
                         [this, call, &worker_node, wants_free_slot] {
                             on_offer_(worker_node, call, wants_free_slot);
                         });
}

std::optional<milliseconds>
caller_nodes::first_node_retry_delay(call_state const& call,
                                     balancing::chosen const& choice)
{
    if (!state_->rules.refuses_at_first_node || call.workers_reached > 0)
    {
        return std::nullopt;
    }
    auto const decision = admission::decide_first_node_admission(
        {call.nested, call.deadline, call.target_time}, choice.candidates,
        state_->events.now(), state_->random);
    auto const* refused = std::get_if<admission::first_node_refused>(&decision);
    refused_at_first_node_ += refused == nullptr ? 0 : 1;
    return refused == nullptr ? std::nullopt
                              : std::optional(refused->retry_after);
}

void caller_nodes::handle_attempt_end(std::shared_ptr<call_state> const& call,
                                      node& worker_node,
                                      ingress::attempt_result const& result,
                                      balancing::load_report const& load)
{
    auto const now = state_->events.now();
    auto const& route = state_->spec.request_kinds[call->kind_index].route;
    auto const* refusal = std::get_if<ingress::attempt_refused>(&result);
    auto const status =
        refusal == nullptr ? call_status::failed : call_status::refused;
    call->caller_node->scores.record_report(worker_node.id, load, now);
    call->caller_node->scores.record_ended(worker_node.id, outcome_of(refusal),
                                           now);
    call->workers_reached += refusal == nullptr ? 1 : 0;
    ingress::call_progress progress;
    progress.repeatability = route.kind;
    progress.max_attempts = route.attempts;
    progress.workers_reached = call->workers_reached;
    progress.redirects = call->redirects;
    progress.remaining =
        std::chrono::duration_cast<milliseconds>(call->deadline - now);
    progress.expected_duration = route.target_latency / 2;
    progress.retry_after = call->retry_after;
    std::visit(
        core::overloaded{[&](ingress::try_another const& step) {
                             if (step.uses_retry_budget &&
                                 !call->caller_node->retry_budget.try_take(
                                     route.targets.front().service, now))
                             {
                                 end_call(*call, {status, call->retry_after});
                                 return;
                             }
                             if (step.may_reselect_upstream)
                             {
                                 call->tried_upstreams.erase(worker_node.id);
                             }
                             else if (step.avoid_data_centre)
                             {
                                 avoid_data_centre(*call, worker_node);
                             }
                             else if (refusal != nullptr)
                             {
                                 ++call->redirects;
                                 call->retry_after = refusal->retry_after;
                             }
                             offer_call(call);
                         },
                         [&](ingress::give_up const& step) {
                             end_call(*call, {status, step.retry_after});
                         }},
        ingress::decide_next_step(progress, result));
}

void caller_nodes::avoid_data_centre(call_state& call, node const& worker_node)
{
    for (auto const* it :
         state_->nodes_by_data_centre[worker_node.data_centre_index])
    {
        call.tried_upstreams.insert(it->id);
    }
}

} // namespace yuccafall::bench::model
