// Estimates the answer time of each worker and chooses among the workers.
#include "balancing/upstream_scores.hpp"

#include <algorithm>

namespace yuccafall::balancing {

namespace {

// Weight of a new sample in the moving averages. The last twenty samples or so
// determine the average of a worker, the last fifty that of a route.
constexpr double newest_of_worker = 0.05;
constexpr double newest_of_route = 0.02;
// Limits the effect of one sample, so that a single very long call does not
// make a worker count as slow.
constexpr double longest_ratio = 4;

// Estimates are multiplied by a random factor between 1 and 1 plus this value.
constexpr double spread = 0.15;

// A worker that rejects more than this share of its calls is avoided while
// another worker is available. Each rejected call uses up part of the fleet's
// retry budget.
constexpr core::percentage rejecting_much{15};
constexpr core::milliseconds rejection_cost{400};

core::duration from_ms(double it)
{
    return core::duration(static_cast<core::duration::rep>(it * 1e6));
}

} // namespace

void upstream_scores::sent(core::upstream_id const& to, core::instant now)
{
    auto& it = records_[to];
    ++it.in_flight;
    it.sent_since.push_back(now);
}

double upstream_scores::usual_run_ms(core::route_name const& route) const
{
    auto const found = usual_run_.find(route);
    return found == usual_run_.end() ? static_cast<double>(assumed_run.count())
                                     : found->second;
}

void upstream_scores::ran(core::upstream_id const& at,
                          core::route_name const& route,
                          core::milliseconds took)
{
    auto const ms = static_cast<double>(took.count());
    auto& usual = usual_run_.try_emplace(route, ms).first->second;
    usual += newest_of_route * (ms - usual);
    auto& slowness = records_[at].slowness;
    auto const ratio = std::min(ms / std::max(usual, 1.0), longest_ratio);
    slowness += newest_of_worker * (ratio - slowness);
}

void upstream_scores::ended(core::upstream_id const& to, outcome how,
                            core::instant now)
{
    auto const found = records_.find(to);
    if (found == records_.end())
    {
        return;
    }
    auto& it = found->second;
    it.in_flight -= it.in_flight > 0 ? 1 : 0;
    while (it.sent_since.size() > it.in_flight)
    {
        it.sent_since.pop_front();
    }
    switch (how)
    {
    case outcome::answered:
    case outcome::refused:
        it.failures = 0;
        it.ejection = {};
        return;
    case outcome::abandoned:
        return;
    case outcome::gone:
        it.ejected_until = now + settings_.gone_ejection;
        return;
    case outcome::unreachable:
    case outcome::failed:
        break;
    }
    ++it.failures;
    // An unreachable node fails for every caller, so one failure is enough to
    // eject it. A single failed run may be caused by the request itself.
    if (how == outcome::failed && it.failures < settings_.failures_to_eject)
    {
        return;
    }
    it.ejection = std::clamp(it.ejection * 2, settings_.first_ejection,
                             settings_.longest_ejection);
    it.ejected_until = now + it.ejection;
}

void upstream_scores::reported(core::upstream_id const& of,
                               load_report const& load, core::instant now)
{
    auto& it = records_[of];
    it.load = load;
    it.reported_at = now;
    it.has_report = true;
    while (!it.sent_since.empty() &&
           it.sent_since.front() + settings_.report_delay < now)
    {
        it.sent_since.pop_front();
    }
}

void upstream_scores::keep_only(std::set<core::upstream_id> const& listed)
{
    for (auto it = records_.begin(); it != records_.end();)
    {
        bool const gone =
            listed.count(it->first) == 0 && it->second.in_flight == 0;
        it = gone ? records_.erase(it) : std::next(it);
    }
}

bool upstream_scores::is_ejected(core::upstream_id const& id,
                                 core::instant now) const
{
    auto const found = records_.find(id);
    return found != records_.end() && found->second.ejected_until > now;
}

upstream_scores::estimate upstream_scores::estimated(upstream const& it,
                                                     demand const& what,
                                                     core::instant now) const
{
    estimate out;
    if (it.data_centre != settings_.own)
    {
        out.answer += settings_.crossing +
                      settings_.crossing_per_kb *
                          static_cast<long>(what.body.value() / 1024);
    }
    auto const run = usual_run_ms(what.route);
    auto const found = records_.find(it.id);
    if (found == records_.end())
    {
        out.answer += from_ms(run);
        return out;
    }
    auto const& known = found->second;
    auto const& load = known.load;
    double const slots = std::max(it.slots.value(), 1U);
    double const unseen = static_cast<double>(known.sent_since.size());
    double const run_here = run * known.slowness * load.pace.value() / 100.0;
    double const busy = load.running.value() + load.waiting.value() + unseen;
    if (busy >= slots)
    {
        auto const reported = what.nested ? load.wait_first : load.wait_last;
        auto const left = reported - (now - known.reported_at);
        out.wait = std::max<core::duration>(left, core::duration::zero()) +
                   from_ms(run_here * (unseen + 0.5) / slots);
    }
    if (what.body_follows && load.body_rate.value() > 0)
    {
        core::duration const left =
            load.wait_for_bodies - (now - known.reported_at);
        out.wait = std::max({out.wait, left, core::duration::zero()});
        out.answer += from_ms(1000.0 * static_cast<double>(what.body.value()) /
                              static_cast<double>(load.body_rate.value()));
    }
    out.answer += out.wait + from_ms(run_here);
    if (load.rejecting > rejecting_much)
    {
        out.answer += rejection_cost;
    }
    return out;
}

std::vector<upstream const*>
upstream_scores::usable(std::vector<upstream> const& among,
                        std::set<core::upstream_id> const& tried,
                        core::instant now) const
{
    std::vector<upstream const*> all;
    std::vector<upstream const*> well;
    for (auto const& it : among)
    {
        if (tried.count(it.id) != 0)
        {
            continue;
        }
        all.push_back(&it);
        if (!is_ejected(it.id, now))
        {
            well.push_back(&it);
        }
    }
    // If more than half of the workers are ejected at once, it is more likely
    // that this node is cut off or delayed. The ejections are ignored then.
    return 2 * well.size() >= all.size() ? well : all;
}

std::vector<upstream const*>
upstream_scores::draw_candidates(std::vector<upstream const*> from,
                                 core::random_source& random) const
{
    auto const far =
        std::partition(from.begin(), from.end(), [&](upstream const* it) {
            return it->data_centre == settings_.own;
        });
    std::vector<upstream const*> out;
    auto const draw = [&](auto first, auto last, std::size_t most) {
        auto left = static_cast<std::size_t>(last - first);
        for (; most > 0 && left > 0; --most, --left, ++first)
        {
            std::iter_swap(first,
                           first + static_cast<long>(random.below(left)));
            out.push_back(*first);
        }
    };
    draw(from.begin(), far, settings_.near_candidates);
    draw(far, from.end(), settings_.far_candidates);
    return out;
}

choice upstream_scores::choose(std::vector<upstream> const& among,
                               std::set<core::upstream_id> const& tried,
                               demand const& what, core::instant now,
                               core::random_source& random)
{
    auto const candidates = draw_candidates(usable(among, tried, now), random);
    if (candidates.empty())
    {
        return none_known{};
    }
    upstream const* best = nullptr;
    double best_score = 0;
    std::size_t free = 0;
    bool best_is_free = false;
    for (auto const* it : candidates)
    {
        auto const expected = estimated(*it, what, now);
        bool const is_free = expected.wait == core::duration::zero();
        free += is_free ? 1 : 0;
        auto const score = static_cast<double>(expected.answer.count()) *
                           (1 + spread * random.unit());
        if (best == nullptr || score < best_score)
        {
            best = it;
            best_score = score;
            best_is_free = is_free;
        }
    }
    return chosen{best, free > (best_is_free ? 1U : 0U)};
}

} // namespace yuccafall::balancing
