// Paired runs and their figures.
#include "bench/model/experiment.hpp"

#include <algorithm>
#include <cmath>

#include <fmt/format.h>

namespace yuccafall::bench::model {

namespace {

// Of a normal distribution, for an interval of 95 %.
constexpr double quantile = 1.96;

void print_day(day_result const& it)
{
    for (auto const& [route, t] : it.by_route)
    {
        fmt::print("route={} asked={} in_aim={} late={} refused={} failed={} "
                   "worth={:.3f}\n",
                   route, t.asked, t.in_aim, t.late, t.refused, t.failed,
                   t.served_worth());
    }
    fmt::print("worth={:.3f} nested={} nested_failed={} mean_wait_ms={:.1f} "
               "mb_between_data_centres={:.1f}\n",
               it.total().served_worth(), it.nested, it.nested_failed,
               it.mean_wait_ms, it.megabytes_between_data_centres);
}

void print_seconds(day_result const& it)
{
    fmt::print("second,asked,in_aim,late,refused,failed,worth\n");
    for (std::size_t i = 0; i < it.by_second.size(); ++i)
    {
        auto const& t = it.by_second[i];
        fmt::print("{},{},{},{},{},{},{:.3f}\n", i, t.asked, t.in_aim, t.late,
                   t.refused, t.failed, t.served_worth());
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
        return core::failure(core::error_kind::invalid_settings,
                             "rules: paced-bodies, free-slots, nested-first");
    }
    return it;
}

comparison compare(deployment const& what, policy const& without,
                   std::uint64_t first_seed, std::size_t seeds)
{
    comparison out;
    std::vector<double> gains;
    for (std::size_t i = 0; i < seeds; ++i)
    {
        auto const a =
            play_day(what, {}, first_seed + i).total().served_worth();
        auto const b =
            play_day(what, without, first_seed + i).total().served_worth();
        out.with += a / static_cast<double>(seeds);
        out.without += b / static_cast<double>(seeds);
        gains.push_back(a - b);
    }
    out.gain = out.with - out.without;
    double squares = 0;
    for (auto const it : gains)
    {
        squares += (it - out.gain) * (it - out.gain);
    }
    auto const n = static_cast<double>(seeds);
    out.half_interval =
        seeds < 2 ? 0 : quantile * std::sqrt(squares / (n - 1) / n);
    return out;
}

int run_experiment(experiment_options const& options)
{
    auto const& all = all_patterns();
    auto const found =
        std::find_if(all.begin(), all.end(), [&](pattern const& it) {
            return it.name == options.pattern;
        });
    auto const without = policy_without(options.without);
    if (found == all.end() || !without)
    {
        fmt::print(stderr, "patterns:\n");
        for (auto const& it : all)
        {
            fmt::print(stderr, "  {:14} {}\n", it.name, it.summary);
        }
        fmt::print(stderr, "{}\n",
                   without ? "" : without.error().detail.c_str());
        return 64;
    }
    auto const what = found->make();
    if (options.seeds > 1)
    {
        auto const it = compare(what, *without, options.seed, options.seeds);
        fmt::print("pattern={} without={} seeds={} worth={:.3f} "
                   "worth_without={:.3f} gain={:.3f} half_interval={:.3f}\n",
                   found->name, options.without, options.seeds, it.with,
                   it.without, it.gain, it.half_interval);
        return 0;
    }
    auto const it = play_day(what, *without, options.seed);
    print_day(it);
    if (options.by_second)
    {
        print_seconds(it);
    }
    return 0;
}

} // namespace yuccafall::bench::model
