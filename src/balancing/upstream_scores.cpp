// The expected answer of each worker, and the choice among them.
#include "balancing/upstream_scores.hpp"

#include <algorithm>
#include <cmath>

namespace yuccafall::balancing {

namespace {

// Assumed of a worker that has not reported yet.
constexpr core::milliseconds assumed_run{100};

// Estimates are multiplied by a random factor from 1 to 1 + this.
constexpr double spread = 0.15;

// A worker that turns away this share of its calls is left out while another
// one can be had: each such call costs part of the fleet's retry budget.
constexpr core::percentage rejecting_much{15};
constexpr core::milliseconds rejection_cost{400};

} // namespace

void upstream_scores::sent(core::upstream_id const& to)
{
    auto& it = records_[to];
    ++it.in_flight;
    ++it.sent_since;
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
    it.sent_since = std::min(it.sent_since, it.in_flight);
    switch (how)
    {
    case outcome::answered:
    case outcome::refused:
        it.failures = 0;
        it.ejection = {};
        return;
    case outcome::abandoned:
        return;
    case outcome::unreachable:
    case outcome::failed:
        break;
    }
    ++it.failures;
    // A node that cannot be reached answers nobody; one failure of a worker
    // may be the request's own.
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
    it.sent_since = 0;
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

core::duration upstream_scores::expected_answer(upstream const& it,
                                                demand const& what,
                                                core::instant now) const
{
    core::duration out{};
    if (it.data_centre != settings_.own)
    {
        out += settings_.crossing +
               settings_.crossing_per_kb *
                   static_cast<long>(what.body.value() / 1024);
    }
    auto const found = records_.find(it.id);
    if (found == records_.end())
    {
        return out + assumed_run;
    }
    auto const& known = found->second;
    auto const slots = std::max(it.slots.value(), 1U);
    core::duration const run =
        known.has_report && known.load.mean_run.count() > 0
            ? known.load.mean_run * static_cast<long>(known.load.pace.value()) /
                  100
            : assumed_run;
    double busy = known.in_flight;
    if (known.has_report)
    {
        auto const age = static_cast<double>((now - known.reported_at).count());
        auto const fade =
            static_cast<double>(core::duration(settings_.report_fades).count());
        double const reported =
            known.load.running.value() + known.load.waiting.value();
        busy =
            std::max(busy, reported * std::exp(-age / fade) + known.sent_since);
    }
    double const ahead = std::max(0.0, busy + 1 - slots) / slots;
    // A worker with many busy slots is likely to be full when the call
    // arrives.
    double const nearly_full = 0.25 * std::min(1.0, busy / slots);
    out += core::duration(static_cast<core::duration::rep>(
        static_cast<double>(run.count()) * (1 + ahead + nearly_full)));
    if (known.load.rejecting > rejecting_much)
    {
        out += rejection_cost;
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
    // Where most seem dead at once, it is more likely this node that is cut
    // off or late, and the ejections are not believed.
    return 2 * well.size() >= all.size() || among.size() <= 2 ? well : all;
}

choice upstream_scores::choose(std::vector<upstream> const& among,
                               std::set<core::upstream_id> const& tried,
                               demand const& what, core::instant now,
                               core::random_source& random)
{
    auto candidates = usable(among, tried, now);
    if (candidates.empty())
    {
        return none_known{};
    }
    // A partial shuffle draws the candidates of a large service.
    auto const n = std::min(candidates.size(), settings_.candidates);
    for (std::size_t i = 0; i < n && n < candidates.size(); ++i)
    {
        std::swap(candidates[i],
                  candidates[i + random.below(candidates.size() - i)]);
    }
    upstream const* best = nullptr;
    double best_score = 0;
    for (std::size_t i = 0; i < n; ++i)
    {
        auto const expected = expected_answer(*candidates[i], what, now);
        auto const score = static_cast<double>(expected.count()) *
                           (1 + spread * random.unit());
        if (best == nullptr || score < best_score)
        {
            best = candidates[i];
            best_score = score;
        }
    }
    return chosen{best};
}

} // namespace yuccafall::balancing
