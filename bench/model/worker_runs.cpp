// Implements the runs of calls, their service times and their nested calls.
#include "bench/model/worker_runs.hpp"

#include <algorithm>
#include <utility>

#include "bench/model/distributions.hpp"
#include "bench/model/load_reports.hpp"

namespace yuccafall::bench::model {

void worker_runs::measure(simulation_result& out) const
{
    out.nested = nested_;
    out.nested_failed = nested_failed_;
}

void worker_runs::start(node& worker_node, core::call_id const& id)
{
    auto const& kind =
        state_->spec
            .request_kinds[worker_node.offered_calls.at(id).call->kind_index];
    auto const service_time_ms =
        lognormal(state_->random, kind.mean_service_time_ms,
                  kind.service_time_sigma) *
        worker_node.service_time_factor * current_slowdown(worker_node) *
        (worker_node.worker
             ? worker_node.worker->service_time_factor(state_->events.now())
             : 1);
    std::size_t nested_count = 0;
    for (auto const& calls : kind.calls)
    {
        nested_count = state_->random.unit() < calls.probability
                           ? (calls.together ? 1 : calls.count)
                           : 0;
    }
    run_part(worker_node, id, service_time_ms, nested_count);
}

void worker_runs::run_part(node& worker_node, core::call_id const& id,
                           double remaining_ms, std::size_t nested_left)
{
    auto const part_ms = remaining_ms / static_cast<double>(nested_left + 1);
    state_->events.schedule_after(from_ms(part_ms), [this, &worker_node, id,
                                                     part_ms, nested_left] {
        auto const found = worker_node.offered_calls.find(id);
        if (found == worker_node.offered_calls.end())
        {
            // The worker has crashed meanwhile.
            return;
        }
        auto const& offered = found->second;
        if (nested_left == 0 || state_->events.now() >= offered.call->deadline)
        {
            end_run(worker_node, id,
                    state_->events.now() < offered.call->deadline);
            return;
        }
        auto const& calls =
            state_->spec.request_kinds[offered.call->kind_index].calls.front();
        auto const group = std::make_shared<nested_group>();
        group->pending = calls.together ? calls.count : 1;
        for (auto n = group->pending; n > 0; --n)
        {
            make_nested_call(worker_node, id, group, part_ms, nested_left);
        }
    });
}

void worker_runs::make_nested_call(node& worker_node, core::call_id const& id,
                                   std::shared_ptr<nested_group> const& group,
                                   double part_ms, std::size_t nested_left)
{
    auto const& offered = worker_node.offered_calls.at(id);
    auto const kind_index = state_->spec.request_kinds[offered.call->kind_index]
                                .calls.front()
                                .kind_index;
    auto call = std::make_shared<call_state>();
    call->kind_index = kind_index;
    call->caller_node = &worker_node;
    call->nested = true;
    ++nested_;
    auto const deadline = state_->events.now() +
                          state_->spec.request_kinds[kind_index].caller_timeout;
    call->on_end = [this, &worker_node, id, group, part_ms, nested_left,
                    deadline](call_outcome const& outcome) {
        bool const succeeded = outcome.status == call_status::answered &&
                               state_->events.now() <= deadline;
        nested_failed_ += succeeded ? 0 : 1;
        group->failed = group->failed || !succeeded;
        if (--group->pending > 0)
        {
            return;
        }
        if (group->failed)
        {
            end_run(worker_node, id, false);
            return;
        }
        run_part(worker_node, id, part_ms * static_cast<double>(nested_left),
                 nested_left - 1);
    };
    caller_nodes_->start_call(
        call, state_->spec.request_kinds[kind_index].caller_timeout);
}

void worker_runs::end_run(node& worker_node, core::call_id const& id,
                          bool succeeded)
{
    auto const found = worker_node.offered_calls.find(id);
    if (found == worker_node.offered_calls.end())
    {
        // The worker has crashed meanwhile.
        return;
    }
    auto const offered = found->second;
    worker_node.offered_calls.erase(found);
    auto const run_time = std::chrono::duration_cast<core::milliseconds>(
        state_->events.now() - offered.started_at);
    if (succeeded && worker_node.warm_up)
    {
        worker_node.warm_up->record_answered_run(
            {state_->spec.request_kinds[offered.call->kind_index].route.name,
             state_->events.now() - offered.started_at});
    }
    owner_nodes_->handle_event(
        worker_node,
        admission::run_ended{
            id,
            succeeded ? admission::run_result::completed
                      : admission::run_result::incomplete,
            core::byte_count(response_size_for_queue(
                state_->spec.request_kinds[offered.call->kind_index]))});
    auto const& kind = state_->spec.request_kinds[offered.call->kind_index];
    auto const bytes =
        short_message_bytes + (succeeded ? kind.response_bytes : 0);
    state_->network.send_response(
        worker_node, *offered.call->caller_node, bytes,
        [this, &worker_node, call = offered.call, run_time, succeeded,
         load = make_load_report(*state_, worker_node)] {
            auto& scores = call->caller_node->scores;
            scores.record_response_size(
                state_->spec.request_kinds[call->kind_index].route.name,
                core::byte_count(static_cast<std::uint64_t>(
                    state_->spec.request_kinds[call->kind_index]
                        .response_bytes)));
            scores.record_report(worker_node.id, load, state_->events.now());
            scores.record_run(
                worker_node.id,
                state_->spec.request_kinds[call->kind_index].route.name,
                run_time);
            scores.record_ended(worker_node.id, balancing::outcome::answered,
                                state_->events.now());
            end_call(
                *call,
                {succeeded ? call_status::answered : call_status::failed, {}});
        });
}

double worker_runs::current_slowdown(node& worker_node)
{
    auto const now = state_->events.now();
    if (now >= worker_node.noise_spell_ends_at)
    {
        worker_node.is_noisy =
            state_->random.unit() < state_->spec.noise_probability;
        worker_node.noise_spell_ends_at =
            now + from_ms(exponential(state_->random,
                                      state_->spec.mean_noise_spell_ms));
    }
    double slowdown = worker_node.is_noisy ? state_->spec.noise_factor : 1;
    for (auto const& disturbance : state_->spec.disturbances)
    {
        bool const is_active = state_->elapsed_s() >= disturbance.start_s &&
                               state_->elapsed_s() < disturbance.end_s;
        slowdown *= is_active && worker_node.is_slowed
                        ? disturbance.slowdown_factor
                        : 1;
    }
    return slowdown;
}

std::uint64_t
worker_runs::response_size_for_queue(request_kind const& kind) const
{
    return state_->network.is_paced(kind.response_bytes)
               ? static_cast<std::uint64_t>(kind.response_bytes)
               : 0;
}

} // namespace yuccafall::bench::model
