// Estimates the response time of each worker and chooses among the workers.
#include "balancing/upstream_scores.hpp"

#include <algorithm>

#include "balancing/free_worker_draw.hpp"

namespace yuccafall::balancing {

namespace {

// Weight of a new sample in the moving averages. About the last twenty samples
// determine the average of a worker, the last fifty that of a route.
constexpr double worker_sample_weight = 0.05;
constexpr double route_sample_weight = 0.02;
// Upper limit on a sample of the run time ratio, so that a single very long
// call does not make a worker count as slow.
constexpr double max_run_time_ratio = 4;

// Expected response times are multiplied by a random factor between 1 and 1
// plus this value.
constexpr double max_jitter = 0.15;

// A worker that rejects more than this share of its calls gets the penalty
// added to its expected response time, so that other workers are preferred.
// Each rejected call uses up part of the retry budget of all nodes.
constexpr core::percentage rejection_penalty_threshold{15};
constexpr core::milliseconds rejection_penalty{400};

core::duration duration_from_ms(double it)
{
    return core::duration(static_cast<core::duration::rep>(it * 1e6));
}

} // namespace

void upstream_scores::record_sent(core::upstream_id const& id,
                                  core::instant now)
{
    auto& state = states_[id];
    ++state.in_flight;
    state.unreported_calls.push_back(now);
}

double upstream_scores::mean_run_time_ms(core::route_name const& route) const
{
    auto const found = mean_run_times_ms_.find(route);
    return found == mean_run_times_ms_.end()
               ? static_cast<double>(initial_run_time.count())
               : found->second;
}

void upstream_scores::record_run(core::upstream_id const& id,
                                 core::route_name const& route,
                                 core::milliseconds run_time)
{
    auto const ms = static_cast<double>(run_time.count());
    auto& mean = mean_run_times_ms_.try_emplace(route, ms).first->second;
    mean += route_sample_weight * (ms - mean);
    auto& run_time_ratio = states_[id].run_time_ratio;
    auto const ratio = std::min(ms / std::max(mean, 1.0), max_run_time_ratio);
    run_time_ratio += worker_sample_weight * (ratio - run_time_ratio);
}

void upstream_scores::record_response_size(core::route_name const& route,
                                           core::byte_count size)
{
    auto const bytes = static_cast<double>(size.value());
    auto& mean = mean_response_sizes_.try_emplace(route, bytes).first->second;
    mean += route_sample_weight * (bytes - mean);
}

core::byte_count
upstream_scores::mean_response_size(core::route_name const& route) const
{
    auto const found = mean_response_sizes_.find(route);
    return core::byte_count(found == mean_response_sizes_.end()
                                ? 0
                                : static_cast<std::uint64_t>(found->second));
}

void upstream_scores::record_ended(core::upstream_id const& id, outcome result,
                                   core::instant now)
{
    auto const found = states_.find(id);
    if (found == states_.end())
    {
        return;
    }
    auto& state = found->second;
    state.in_flight -= state.in_flight > 0 ? 1 : 0;
    while (state.unreported_calls.size() > state.in_flight)
    {
        state.unreported_calls.pop_front();
    }
    switch (result)
    {
    case outcome::answered:
    case outcome::refused:
        state.failures = 0;
        state.ejection_time = {};
        return;
    case outcome::abandoned:
        return;
    case outcome::address_reused:
        state.ejected_until = now + settings_.reused_address_ejection;
        return;
    case outcome::unreachable:
    case outcome::failed:
        break;
    }
    ++state.failures;
    // An unreachable node is unreachable for every call, so one failure is
    // enough to eject the worker. A single failed run may be caused by the
    // request itself.
    if (result == outcome::failed &&
        state.failures < settings_.failures_to_eject)
    {
        return;
    }
    eject(state, now);
}

void upstream_scores::record_node_lost(core::upstream_id const& id,
                                       core::instant now)
{
    auto const found = states_.find(id);
    if (found != states_.end() && found->second.ejected_until <= now)
    {
        eject(found->second, now);
    }
}

void upstream_scores::eject(upstream_state& state, core::instant now) const
{
    state.ejection_time =
        std::clamp(state.ejection_time * 2, settings_.min_ejection,
                   settings_.max_ejection);
    state.ejected_until = now + state.ejection_time;
}

void upstream_scores::record_report(core::upstream_id const& id,
                                    load_report const& load, core::instant now)
{
    auto& state = states_[id];
    auto const known_rate = state.load.rate;
    state.load = load;
    if (std::holds_alternative<core::rate_unknown>(load.rate))
    {
        // The node beside the worker has restarted.
        state.load.rate = known_rate;
    }
    state.expected.record_report(load.running.value() + load.waiting.value(),
                                 now);
    state.reported_at = now;
    state.has_report = true;
    while (!state.unreported_calls.empty() &&
           state.unreported_calls.front() + settings_.report_delay < now)
    {
        state.unreported_calls.pop_front();
    }
}

void upstream_scores::remove_unlisted(std::set<core::upstream_id> const& listed)
{
    for (auto it = states_.begin(); it != states_.end();)
    {
        bool const unlisted =
            listed.count(it->first) == 0 && it->second.in_flight == 0;
        it = unlisted ? states_.erase(it) : std::next(it);
    }
}

void upstream_scores::record_leaving(upstream const& it, core::instant now)
{
    leaving_workers_.record(it.id, it.started, now);
}

void upstream_scores::record_responsive(core::endpoint const& node,
                                        bool responsive)
{
    if (responsive)
    {
        unresponsive_nodes_.erase(node);
        return;
    }
    unresponsive_nodes_.insert(node);
}

std::vector<upstream const*>
upstream_scores::responsive(std::vector<upstream const*> const& upstreams) const
{
    std::vector<upstream const*> out;
    for (auto const* it : upstreams)
    {
        if (unresponsive_nodes_.count(it->node) == 0)
        {
            out.push_back(it);
        }
    }
    return out;
}

bool upstream_scores::is_ejected(core::upstream_id const& id,
                                 core::instant now) const
{
    auto const found = states_.find(id);
    return found != states_.end() && found->second.ejected_until > now;
}

core::stated_rate
upstream_scores::stated_rate(core::upstream_id const& id) const
{
    auto const found = states_.find(id);
    return found == states_.end() ? core::stated_rate()
                                  : found->second.load.rate;
}

upstream_scores::response_estimate
upstream_scores::estimate_for(upstream const& candidate,
                              call_traits const& traits,
                              core::instant now) const
{
    response_estimate out;
    if (candidate.data_centre != settings_.own_data_centre)
    {
        out.time_to_response +=
            settings_.cross_data_centre_cost +
            settings_.cross_data_centre_cost_per_kb *
                static_cast<long>(traits.body_size.value() / 1024);
        if (traits.long_response)
        {
            out.time_to_response +=
                settings_.cross_data_centre_cost_per_kb *
                static_cast<long>(mean_response_size(traits.route).value() /
                                  1024);
        }
    }
    auto const distance_cost = out.time_to_response;
    auto const mean_run_time = mean_run_time_ms(traits.route);
    auto const found = states_.find(candidate.id);
    if (found == states_.end())
    {
        out.time_to_response += duration_from_ms(mean_run_time);
        out.free_slots = candidate.slots.value();
        out.candidate.run_time = duration_from_ms(mean_run_time);
        out.candidate.ends_after = out.candidate.run_time;
        out.candidate.slots = candidate.slots;
        return out;
    }
    auto const& state = found->second;
    auto const& load = state.load;
    double const slots = std::max(candidate.slots.value(), 1U);
    double const unreported_count =
        static_cast<double>(state.unreported_calls.size());
    double const expected_run_time_ms = mean_run_time * state.run_time_ratio *
                                        load.relative_service_time.value() /
                                        100.0;
    double const open_calls =
        unreported_count +
        (spreads_load() ? state.expected.open_calls(
                              duration_from_ms(expected_run_time_ms), now)
                        : load.running.value() + load.waiting.value());
    out.free_slots = slots - open_calls;
    auto const reported_wait =
        traits.nested ? load.wait_for_nested : load.wait_at_back;
    auto const remaining_wait = std::max<core::duration>(
        reported_wait - (now - state.reported_at), core::duration::zero());
    if (open_calls >= slots)
    {
        out.time_to_slot =
            remaining_wait + duration_from_ms(expected_run_time_ms *
                                              (unreported_count + 0.5) / slots);
    }
    for (auto const& rate : {load.rate, load.cold_rate})
    {
        if (auto const limit = core::limit_of(rate))
        {
            auto const interval_ms = 1e6 / std::max<double>(limit->value(), 1);
            // Calls at the rate use this many slots, and the others stay empty.
            out.free_slots =
                std::min(out.free_slots, expected_run_time_ms / interval_ms);
            out.time_to_slot =
                std::max(out.time_to_slot,
                         remaining_wait +
                             duration_from_ms(interval_ms * unreported_count));
        }
    }
    if (traits.body_follows && load.body_rate.value() > 0)
    {
        core::duration const body_wait =
            load.wait_for_bodies - (now - state.reported_at);
        out.time_to_slot =
            std::max({out.time_to_slot, body_wait, core::duration::zero()});
        out.time_to_response += duration_from_ms(
            1000.0 * static_cast<double>(traits.body_size.value()) /
            static_cast<double>(load.body_rate.value()));
    }
    auto const run_ends_after =
        out.time_to_slot + duration_from_ms(expected_run_time_ms);
    out.time_to_response += run_ends_after;
    if (traits.long_response && candidate.node != settings_.own_node &&
        load.body_rate.value() > 0)
    {
        auto const transfer_time = duration_from_ms(
            1000.0 *
            static_cast<double>(mean_response_size(traits.route).value()) /
            static_cast<double>(load.body_rate.value()));
        core::duration const link_wait =
            load.wait_for_bodies - (now - state.reported_at) +
            transfer_time * static_cast<long>(unreported_count);
        out.time_to_response +=
            std::max(link_wait - run_ends_after, core::duration::zero()) +
            transfer_time;
    }
    out.candidate.run_time = duration_from_ms(expected_run_time_ms);
    // The choice assumes that the call goes behind all others, since more
    // urgent calls may arrive first. A refusal is decided by the place that the
    // call has now, ahead of the less urgent calls that wait or were sent since
    // the report.
    auto const wait_of_rank = wait_for_call(load, traits.nested, traits.rank);
    out.candidate.wait = wait_of_rank > core::milliseconds(0)
                             ? out.time_to_slot
                             : core::duration::zero();
    if (wait_of_rank < reported_wait)
    {
        out.candidate.wait = std::clamp<core::duration>(
            wait_of_rank - (now - state.reported_at), core::duration::zero(),
            out.candidate.wait);
    }
    out.candidate.ends_after = out.time_to_response - distance_cost -
                               (out.time_to_slot - out.candidate.wait);
    if (state.has_report)
    {
        out.candidate.report_age = now - state.reported_at;
    }
    out.candidate.waiting = load.waiting;
    out.candidate.slots = candidate.slots;
    if (load.rejection_share > rejection_penalty_threshold)
    {
        out.time_to_response += rejection_penalty;
        out.rejects = true;
    }
    return out;
}

std::vector<upstream const*>
upstream_scores::eligible(std::vector<upstream> const& upstreams,
                          std::set<core::upstream_id> const& tried,
                          core::instant now) const
{
    std::vector<upstream const*> all;
    std::vector<upstream const*> healthy;
    for (auto const& it : upstreams)
    {
        if (tried.count(it.id) != 0 ||
            leaving_workers_.contains(it.id, it.started, now))
        {
            continue;
        }
        all.push_back(&it);
        if (!is_ejected(it.id, now))
        {
            healthy.push_back(&it);
        }
    }
    // If more than half of the workers are ejected at once, the likely cause is
    // that this node is cut off from the network or delayed. The ejections are
    // ignored then.
    return 2 * healthy.size() >= all.size() ? healthy : all;
}

std::vector<upstream const*>
upstream_scores::sample_candidates(std::vector<upstream const*> upstreams,
                                   core::random_source& random) const
{
    auto const remote_begin = std::partition(
        upstreams.begin(), upstreams.end(), [&](upstream const* it) {
            return it->data_centre == settings_.own_data_centre;
        });
    std::vector<upstream const*> out;
    auto const draw = [&](auto first, auto last, std::size_t limit) {
        auto left = static_cast<std::size_t>(last - first);
        for (; limit > 0 && left > 0; --limit, --left, ++first)
        {
            std::iter_swap(first,
                           first + static_cast<long>(random.below(left)));
            out.push_back(*first);
        }
    };
    draw(upstreams.begin(), remote_begin, settings_.max_local_candidates);
    draw(remote_begin, upstreams.end(), settings_.max_remote_candidates);
    return out;
}

bool upstream_scores::spreads_load() const
{
    return settings_.spreads_load && expected_calls_before_report(nodes_) >= 1;
}

std::size_t
upstream_scores::spread(std::vector<upstream const*> const& candidates,
                        std::vector<response_estimate> const& estimates,
                        std::size_t best, core::random_source& random) const
{
    auto const is_local = [&](std::size_t i) {
        return candidates[i]->data_centre == settings_.own_data_centre;
    };
    std::vector<free_worker> free_workers;
    for (std::size_t i = 0; i < candidates.size(); ++i)
    {
        auto const& it = estimates[i];
        bool const takes_part = it.time_to_slot == core::duration::zero() &&
                                !it.rejects && is_local(i) == is_local(best);
        if (i == best || takes_part)
        {
            free_workers.push_back({i, it.free_slots, it.time_to_response});
        }
    }
    // The slots of one worker are the upper limit, because each worker reports
    // its load to all nodes that have recently sent it calls. If the calls of a
    // node went to more workers, the number of load reports would grow.
    auto const min_free_slots = std::min<double>(
        expected_calls_before_report(nodes_), candidates[best]->slots.value());
    return draw_free_worker(std::move(free_workers), min_free_slots, random);
}

choice upstream_scores::choose(std::vector<upstream> const& upstreams,
                               std::set<core::upstream_id> const& tried,
                               call_traits const& traits, core::instant now,
                               core::random_source& random)
{
    auto all = eligible(upstreams, tried, now);
    if (unresponsive_nodes_.empty())
    {
        return choose_among(std::move(all), traits, now, random);
    }
    auto const preferred = responsive(all);
    if (preferred.empty() || preferred.size() == all.size())
    {
        return choose_among(std::move(all), traits, now, random);
    }
    auto const without_rule = choose_among(all, traits, now, random);
    auto out = choose_among(preferred, traits, now, random);
    auto const* const replaced = std::get_if<chosen>(&without_rule);
    if (auto* const it = std::get_if<chosen>(&out); it && replaced)
    {
        it->avoids_unresponsive_node =
            unresponsive_nodes_.count(replaced->target->node) != 0;
        // The workers that were left out may have room, so that the call must
        // not be refused for the load of the others.
        it->candidates.clear();
    }
    return out;
}

choice upstream_scores::choose_among(std::vector<upstream const*> upstreams,
                                     call_traits const& traits,
                                     core::instant now,
                                     core::random_source& random) const
{
    auto const candidates = sample_candidates(std::move(upstreams), random);
    if (candidates.empty())
    {
        return none_available{};
    }
    std::vector<response_estimate> estimates;
    std::size_t best = 0;
    double best_score = 0;
    std::size_t free_candidates = 0;
    for (auto const* it : candidates)
    {
        auto const& expected =
            estimates.emplace_back(estimate_for(*it, traits, now));
        free_candidates +=
            expected.time_to_slot == core::duration::zero() ? 1 : 0;
        auto const score =
            static_cast<double>(expected.time_to_response.count()) *
            (1 + max_jitter * random.unit());
        if (estimates.size() == 1 || score < best_score)
        {
            best = estimates.size() - 1;
            best_score = score;
        }
    }
    bool const best_is_free =
        estimates[best].time_to_slot == core::duration::zero();
    if (best_is_free && spreads_load())
    {
        best = spread(candidates, estimates, best, random);
    }
    std::vector<candidate_estimate> compared;
    compared.reserve(estimates.size());
    for (auto const& it : estimates)
    {
        compared.push_back(it.candidate);
    }
    chosen out;
    out.target = candidates[best];
    out.has_alternative = free_candidates > (best_is_free ? 1U : 0U);
    out.candidates = std::move(compared);
    return out;
}

} // namespace yuccafall::balancing
