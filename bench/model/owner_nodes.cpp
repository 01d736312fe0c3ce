// Implements the queue of offered calls at the node beside each worker.
#include "bench/model/owner_nodes.hpp"

#include <algorithm>
#include <utility>

#include "bench/model/load_reports.hpp"

namespace yuccafall::bench::model {

void owner_nodes::measure(simulation_result& out) const
{
    out.mean_wait_ms = wait_count_ == 0
                           ? 0
                           : total_wait_ms_ / static_cast<double>(wait_count_);
    out.offers = offers_;
    out.waits_beside_free_worker = waits_beside_free_worker_;
    out.refusals_beside_free_worker = refusals_beside_free_worker_;
}

void owner_nodes::handle_offer(node& worker_node,
                               std::shared_ptr<call_state> const& call,
                               bool has_alternative)
{
    auto const now = state_->events.now();
    if (now < worker_node.unreachable_until)
    {
        send_attempt_result(
            worker_node, call,
            ingress::attempt_refused{core::error_kind::no_upstream,
                                     unreachable_backoff});
        return;
    }
    if (worker_node.warm_up)
    {
        worker_node.warm_up->record_offer();
    }
    core::call_id const id{core::incarnation(1), ++last_call_number_};
    auto const& route = state_->spec.request_kinds[call->kind_index].route;
    admission::job job;
    job.call = id;
    job.route = route.name;
    job.rank = route.rank;
    job.nested = call->nested && state_->rules.puts_nested_first;
    job.has_alternative = has_alternative;
    job.deadline = call->deadline;
    job.target_time = call->target_time;
    job.awaits_body = call->body_bytes > max_inline_body_bytes;
    job.body_size =
        core::byte_count(job.awaits_body && &worker_node != call->caller_node
                             ? static_cast<std::uint64_t>(call->body_bytes)
                             : 0);
    job.link_backlog = worker_node.response_pacer.backlog();
    worker_node.offered_calls.emplace(
        id, offered_call{call, has_alternative, now, {}});
    worker_node.subscribers[call->caller_node->id] = now;
    worker_node.history->record_arrival(now);
    handle_event(worker_node, admission::call_offered{job});
    count_offer(worker_node, *call, id);
}

void owner_nodes::count_offer(node const& worker_node, call_state const& call,
                              core::call_id const& id)
{
    ++offers_;
    auto const found = worker_node.offered_calls.find(id);
    bool const refused = found == worker_node.offered_calls.end();
    if (!refused && found->second.started_at != core::instant{})
    {
        return;
    }
    auto const& service = state_->spec.request_kinds[call.kind_index]
                              .route.targets.front()
                              .service;
    auto const& upstreams = state_->upstreams.at(service);
    bool const has_free_worker = std::any_of(
        upstreams.begin(), upstreams.end(), [&](balancing::upstream const& it) {
            auto const& other = *state_->nodes_by_id.at(it.id);
            return &other != &worker_node &&
                   other.data_centre_index ==
                       call.caller_node->data_centre_index &&
                   other.queue.waiting() == 0 &&
                   other.queue.running() < other.queue.slots().value();
        });
    waits_beside_free_worker_ += has_free_worker && !refused ? 1 : 0;
    refusals_beside_free_worker_ += has_free_worker && refused ? 1 : 0;
}

void owner_nodes::handle_event(node& worker_node, admission::event const& event)
{
    auto const actions = worker_node.queue.handle(event, state_->events.now());
    for (auto const& action : actions)
    {
        std::visit([&](auto const& it) { execute(worker_node, it); }, action);
    }
    if (worker_node.warm_up)
    {
        worker_node.warm_up->set_calls_wait(worker_node.queue.waiting() > 0);
    }
    publish_load(*state_, worker_node);
    auto const next_due = worker_node.queue.next_timer();
    if (next_due &&
        (!worker_node.next_timer || *next_due < *worker_node.next_timer))
    {
        worker_node.next_timer =
            std::max(*next_due, state_->events.now() + core::milliseconds(1));
        state_->events.schedule_at(
            *worker_node.next_timer, [this, &worker_node] {
                worker_node.next_timer.reset();
                handle_event(worker_node, admission::timer_expired{});
            });
    }
}

// Simulated workers report no load, so that no call is found to be lost.
void owner_nodes::execute(node&, admission::call_lost const&) {}

void owner_nodes::execute(node& worker_node,
                          admission::request_body const& action)
{
    auto const call = worker_node.offered_calls.at(action.call).call;
    state_->network.send(worker_node, *call->caller_node, short_message_bytes,
                         [this, &worker_node, call, id = action.call] {
                             state_->network.send(
                                 *call->caller_node, worker_node,
                                 call->body_bytes, [this, &worker_node, id] {
                                     handle_event(worker_node,
                                                  admission::body_arrived{id});
                                 });
                         });
}

void owner_nodes::execute(node& worker_node,
                          admission::refuse_call const& action)
{
    auto const found = worker_node.offered_calls.find(action.call);
    auto const offered = found->second;
    worker_node.offered_calls.erase(found);
    ingress::attempt_refused const refusal{action.kind, action.retry_after,
                                           false, offered.has_alternative};
    send_attempt_result(worker_node, offered.call, refusal);
}

void owner_nodes::send_attempt_result(node& worker_node,
                                      std::shared_ptr<call_state> const& call,
                                      ingress::attempt_result const& result)
{
    state_->network.send(worker_node, *call->caller_node, short_message_bytes,
                         [this, &worker_node, call, result,
                          load = make_load_report(*state_, worker_node)] {
                             caller_nodes_->handle_attempt_end(
                                 call, worker_node, result, load);
                         });
}

void owner_nodes::execute(node& worker_node,
                          admission::start_call const& action)
{
    auto& offered = worker_node.offered_calls.at(action.call);
    offered.started_at = state_->events.now();
    total_wait_ms_ += to_ms(offered.started_at - offered.offered_at);
    ++wait_count_;
    if (handlers_.reach_worker(worker_node, action.call))
    {
        handlers_.start_run(worker_node, action.call);
    }
}

} // namespace yuccafall::bench::model
