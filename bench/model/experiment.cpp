// Runs simulations in pairs of the same seed and prints the results.
#include "bench/model/experiment.hpp"

#include <algorithm>
#include <cmath>

#include <fmt/format.h>

namespace yuccafall::bench::model {

namespace {

// Quantile of the standard normal distribution for a two-sided 95 % interval.
constexpr double normal_quantile = 1.96;

void print_totals(simulation_result const& it)
{
    for (auto const& [route, t] : it.by_route)
    {
        fmt::print("route={} asked={} in_aim={} late={} refused={} failed={} "
                   "worth={:.3f}\n",
                   route, t.asked, t.in_aim, t.late, t.refused, t.failed,
                   t.worth_ratio());
    }
    fmt::print("worth={:.3f} nested={} nested_failed={} mean_wait_ms={:.1f} "
               "mb_between_data_centres={:.1f}\n",
               it.total().worth_ratio(), it.nested, it.nested_failed,
               it.mean_wait_ms, it.megabytes_between_data_centres);
}

void print_seconds(simulation_result const& it)
{
    fmt::print("second,asked,in_aim,late,refused,failed,worth\n");
    for (std::size_t i = 0; i < it.by_second.size(); ++i)
    {
        auto const& t = it.by_second[i];
        fmt::print("{},{},{},{},{},{},{:.3f}\n", i, t.asked, t.in_aim, t.late,
                   t.refused, t.failed, t.worth_ratio());
    }
}

} // namespace

core::result<policy> policy_without(std::string_view rule)
{
    policy it;
    if (rule == "paced-bodies")
    {
        it.paces_bodies = false;
    }
    else if (rule == "paced-responses")
    {
        it.paces_responses = false;
    }
    else if (rule == "free-slots")
    {
        it.prefers_free_slots = false;
    }
    else if (rule == "nested-first")
    {
        it.puts_nested_first = false;
    }
    else if (!rule.empty())
    {
        return core::failure(
            core::error_kind::invalid_settings,
            "unknown rule; the rules are paced-bodies, free-slots, "
            "nested-first");
    }
    return it;
}

comparison compare(deployment const& spec, policy const& reduced,
                   std::uint64_t first_seed, std::size_t seeds)
{
    comparison out;
    std::vector<double> gains;
    for (std::size_t i = 0; i < seeds; ++i)
    {
        auto const worth =
            run_simulation(spec, {}, first_seed + i).total().worth_ratio();
        auto const worth_without =
            run_simulation(spec, reduced, first_seed + i).total().worth_ratio();
        out.worth += worth / static_cast<double>(seeds);
        out.worth_without += worth_without / static_cast<double>(seeds);
        gains.push_back(worth - worth_without);
    }
    out.gain = out.worth - out.worth_without;
    double squared_deviations = 0;
    for (auto const it : gains)
    {
        squared_deviations += (it - out.gain) * (it - out.gain);
    }
    auto const n = static_cast<double>(seeds);
    out.half_interval =
        seeds < 2
            ? 0
            : normal_quantile * std::sqrt(squared_deviations / (n - 1) / n);
    return out;
}

int run_experiment(experiment_options const& options)
{
    auto const& all = all_patterns();
    auto const found =
        std::find_if(all.begin(), all.end(), [&](pattern const& it) {
            return it.name == options.pattern;
        });
    auto const rules = policy_without(options.without);
    if (found == all.end() || !rules)
    {
        fmt::print(stderr, "patterns:\n");
        for (auto const& it : all)
        {
            fmt::print(stderr, "  {:14} {}\n", it.name, it.summary);
        }
        fmt::print(stderr, "{}\n", rules ? "" : rules.error().detail.c_str());
        return 64;
    }
    auto const spec = found->make();
    if (options.seeds > 1)
    {
        auto const it = compare(spec, *rules, options.seed, options.seeds);
        fmt::print("pattern={} without={} seeds={} worth={:.3f} "
                   "worth_without={:.3f} gain={:.3f} half_interval={:.3f}\n",
                   found->name, options.without, options.seeds, it.worth,
                   it.worth_without, it.gain, it.half_interval);
        return 0;
    }
    auto const it = run_simulation(spec, *rules, options.seed);
    print_totals(it);
    if (options.by_second)
    {
        print_seconds(it);
    }
    return 0;
}

} // namespace yuccafall::bench::model
