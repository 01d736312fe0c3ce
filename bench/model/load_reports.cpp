// Implements the content of load reports and the times at which they are sent.
#include "bench/model/load_reports.hpp"

#include <algorithm>

namespace yuccafall::bench::model {

namespace {

using core::milliseconds;

// Size on the link of a load report that is sent by itself.
constexpr double load_update_bytes = 100;
// These three are the constants of upstream::load_publisher: the minimum time
// between two load reports, the time since the last offer of a node until which
// it receives them, and the number of free slots of a nearly full worker.
constexpr core::duration min_report_interval = milliseconds(50);
constexpr core::duration report_subscription = milliseconds(3'000);
constexpr std::uint32_t nearly_full_margin = 2;

} // namespace

balancing::load_report make_load_report(simulation_state const& state,
                                        node const& worker_node)
{
    balancing::load_report it;
    auto const& queue = worker_node.queue;
    it.wait_for_nested = queue.wait_for_nested(state.events.now());
    it.wait_at_back = queue.wait_at_back(state.events.now());
    it.running = core::slot_count(static_cast<std::uint32_t>(queue.running()));
    it.waiting =
        core::queue_length(static_cast<std::uint32_t>(queue.waiting()));
    it.slots = queue.slots();
    it.wait_for_bodies = std::max(queue.wait_for_bodies(),
                                  std::chrono::duration_cast<milliseconds>(
                                      worker_node.response_pacer.backlog() +
                                      queue.expected_response_time()));
    it.body_rate = queue.body_rate();
    it.waits_by_rank = queue.waits_by_rank(state.events.now());
    if (state.rules.reports_cold_rate)
    {
        it.cold_rate = queue.cold_rate();
    }
    return it;
}

void publish_load(simulation_state& state, node& worker_node)
{
    auto const now = state.events.now();
    auto const open_calls = static_cast<std::uint32_t>(
        worker_node.queue.running() + worker_node.queue.waiting());
    worker_node.history->record_open_calls(open_calls, now);
    auto const nearly_full =
        worker_node.queue.slots().value() - nearly_full_margin;
    auto const load = make_load_report(state, worker_node);
    auto const rate = core::limit_of(load.cold_rate);
    auto const last_rate = core::limit_of(worker_node.last_published_cold_rate);
    bool const differs = open_calls != worker_node.last_published_open_calls ||
                         rate != last_rate;
    bool const is_nearly_full =
        std::max(open_calls, worker_node.last_published_open_calls) >=
            nearly_full ||
        rate || last_rate;
    if (!state.spec.publishes_load || worker_node.report_scheduled ||
        !differs || !is_nearly_full)
    {
        return;
    }
    auto const next = worker_node.last_published_at + min_report_interval;
    if (now < next)
    {
        worker_node.report_scheduled = true;
        state.events.schedule_at(next, [&state, &worker_node] {
            worker_node.report_scheduled = false;
            publish_load(state, worker_node);
        });
        return;
    }
    worker_node.last_published_open_calls = open_calls;
    worker_node.last_published_cold_rate = load.cold_rate;
    worker_node.last_published_at = now;
    for (auto const& [id, last_offer] : worker_node.subscribers)
    {
        auto* to = state.nodes_by_id.at(id);
        if (to == &worker_node || now - last_offer > report_subscription)
        {
            continue;
        }
        state.network.send(worker_node, *to, load_update_bytes,
                           [&state, to, load, from = worker_node.id] {
                               to->scores.record_report(from, load,
                                                        state.events.now());
                           });
    }
}

} // namespace yuccafall::bench::model
