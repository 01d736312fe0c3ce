// Implements power cuts, evacuations and crashes of cold workers.
#include "bench/model/outages.hpp"

#include <algorithm>
#include <utility>
#include <vector>

namespace yuccafall::bench::model {

namespace {

// Callers are served again in a second that has this part of its worth.
constexpr double recovered_worth_ratio = 0.9;

} // namespace

void outages::start()
{
    if (!spec_->cold)
    {
        return;
    }
    for (auto const& it : *nodes_)
    {
        start_warm_up(*it);
    }
    for (auto const& it : spec_->power_cuts)
    {
        schedule(it.start_s, [this, length_s = it.end_s - it.start_s] {
            for (auto const& node : *nodes_)
            {
                crash(*node, from_ms(1000 * length_s));
            }
        });
        ends_at_s_ = std::max(ends_at_s_, it.end_s);
    }
    for (auto const& it : spec_->evacuations)
    {
        schedule(it.start_s,
                 [this, i = it.data_centre_index] { start_evacuation(i); });
        schedule(it.end_s,
                 [this, i = it.data_centre_index] { end_evacuation(i); });
        ends_at_s_ = std::max(ends_at_s_, it.end_s);
    }
    for (auto const start_s : spec_->cold_starts_s)
    {
        schedule(start_s, [this] { start_cold_periods(); });
    }
}

void outages::start_cold_periods()
{
    for (auto const& it : *nodes_)
    {
        // A worker that is away returns cold in any case.
        if (!it->worker->is_away(events_->now()))
        {
            it->worker->become_cold(events_->now());
        }
    }
}

void outages::start_warm_up(node& it)
{
    it.worker.emplace(*spec_->cold);
    if (!rules_->keeps_cold_rate)
    {
        return;
    }
    it.warm_up = std::make_unique<owner_warm_up>(
        *events_, *it.worker, *rules_,
        [this, to = &it](admission::cold_rate_changed const& e) {
            handlers_.handle_event(*to, e);
        });
    it.warm_up->set_limits(spec_->cold->limits);
}

void outages::schedule(double s, std::function<void()> action)
{
    events_->schedule_after(from_ms(1000 * s), std::move(action));
}

void outages::start_evacuation(std::size_t data_centre_index)
{
    auto const& name = spec_->data_centres[data_centre_index];
    for (auto& [service, upstreams] : *upstreams_)
    {
        auto const end = std::stable_partition(
            upstreams.begin(), upstreams.end(),
            [&](auto const& it) { return it.data_centre != name; });
        auto& evacuated = evacuated_[service];
        evacuated.insert(evacuated.end(), end, upstreams.end());
        upstreams.erase(end, upstreams.end());
    }
    for (auto const& it : *nodes_)
    {
        if (it->data_centre_index == data_centre_index)
        {
            handlers_.handle_event(
                *it, admission::drain_started{core::error_kind::evacuated});
        }
    }
}

void outages::end_evacuation(std::size_t data_centre_index)
{
    auto const& name = spec_->data_centres[data_centre_index];
    for (auto& [service, evacuated] : evacuated_)
    {
        auto const end = std::stable_partition(
            evacuated.begin(), evacuated.end(),
            [&](auto const& it) { return it.data_centre != name; });
        auto& upstreams = upstreams_->at(service);
        upstreams.insert(upstreams.end(), end, evacuated.end());
        evacuated.erase(end, evacuated.end());
    }
    for (auto const& it : *nodes_)
    {
        if (it->data_centre_index != data_centre_index)
        {
            continue;
        }
        it->worker->become_cold(events_->now());
        if (it->warm_up && rules_->doubts_after_evacuation)
        {
            it->warm_up->record_doubt(
                admission::warm_up_source::evacuation_ended);
        }
        handlers_.handle_event(*it, admission::drain_ended{});
    }
}

bool outages::reach_worker(node& worker_node, core::call_id const& id)
{
    auto const now = events_->now();
    if (!worker_node.worker)
    {
        return true;
    }
    // The queue may have returned further actions, which are executed first.
    if (worker_node.worker->is_away(now))
    {
        events_->schedule_after({}, [this, &worker_node, id] {
            refuse_as_unreachable(worker_node, id);
        });
        return false;
    }
    if (worker_node.worker->record_request(now))
    {
        events_->schedule_after(
            {}, [this, &worker_node] { crash_of_overload(worker_node); });
    }
    return true;
}

void outages::crash(node& worker_node, core::duration away)
{
    worker_node.worker->crash(events_->now() + away);
    std::vector<core::call_id> running;
    for (auto const& [id, it] : worker_node.offered_calls)
    {
        if (it.started_at != core::instant{})
        {
            running.push_back(id);
        }
    }
    if (running.empty() && worker_node.warm_up)
    {
        worker_node.warm_up->record_lost_idle_connections();
    }
    for (auto const& id : running)
    {
        fail_run(worker_node, id);
    }
}

void outages::crash_of_overload(node& worker_node)
{
    if (!worker_node.worker->is_away(events_->now()))
    {
        ++cold_crashes_;
        crash(worker_node, spec_->cold->crash_duration);
    }
}

void outages::fail_run(node& worker_node, core::call_id const& id)
{
    end_run(worker_node, id, admission::warm_up_source::connection_lost,
            ingress::attempt_failed{core::error_kind::upstream_failed, {}});
}

void outages::refuse_as_unreachable(node& worker_node, core::call_id const& id)
{
    worker_node.unreachable_until = events_->now() + unreachable_backoff;
    end_run(worker_node, id, admission::warm_up_source::worker_unreachable,
            ingress::attempt_refused{core::error_kind::no_upstream,
                                     unreachable_backoff});
}

void outages::end_run(node& worker_node, core::call_id const& id,
                      admission::warm_up_source cause,
                      ingress::attempt_result const& result)
{
    auto const found = worker_node.offered_calls.find(id);
    if (found == worker_node.offered_calls.end())
    {
        // The worker has crashed since the call was sent.
        return;
    }
    auto const offered = found->second;
    worker_node.offered_calls.erase(found);
    if (worker_node.warm_up)
    {
        worker_node.warm_up->record_doubt(cause);
    }
    handlers_.handle_event(
        worker_node,
        admission::run_ended{id, admission::run_result::incomplete});
    handlers_.end_attempt(worker_node, offered.call, result);
}

void outages::measure(simulation_result& out) const
{
    out.cold_crashes = cold_crashes_;
    for (auto const& it : *nodes_)
    {
        out.health_requests += it->warm_up ? it->warm_up->health_requests() : 0;
    }
    if (ends_at_s_ <= 0)
    {
        return;
    }
    auto s = ends_at_s_;
    while (s < spec_->duration_s &&
           out.by_second[static_cast<std::size_t>(s)].worth_ratio() <
               recovered_worth_ratio)
    {
        s += 1;
    }
    out.recovery_s = s - ends_at_s_;
}

} // namespace yuccafall::bench::model
