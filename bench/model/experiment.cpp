// Runs simulations in pairs of the same seed and prints the results.
#include "bench/model/experiment.hpp"

#include <algorithm>
#include <cmath>
#include <future>
#include <iterator>
#include <numeric>
#include <vector>

#include <fmt/format.h>

namespace yuccafall::bench::model {

namespace {

// Quantile of the standard normal distribution for a two-sided 95 % interval.
constexpr double normal_quantile = 1.96;

estimate estimate_mean(std::vector<double> const& samples)
{
    auto const n = static_cast<double>(samples.size());
    estimate out;
    out.mean = std::accumulate(samples.begin(), samples.end(), 0.0) / n;
    if (samples.size() < 2)
    {
        return out;
    }
    double squared_deviations = 0;
    for (auto const it : samples)
    {
        squared_deviations += (it - out.mean) * (it - out.mean);
    }
    out.half_interval =
        normal_quantile * std::sqrt(squared_deviations / (n - 1) / n);
    return out;
}

template <class Value>
estimate mean_over(std::vector<simulation_result> const& results, Value value)
{
    std::vector<double> samples;
    std::transform(results.begin(), results.end(), std::back_inserter(samples),
                   value);
    return estimate_mean(samples);
}

even_load_measures measure(std::vector<simulation_result> const& results)
{
    auto const mean_of = [&](auto const& value) {
        return mean_over(results, value);
    };
    auto const per_offer = [&](std::uint64_t simulation_result::*count) {
        return mean_of([count](simulation_result const& it) {
            return static_cast<double>(it.*count) /
                   static_cast<double>(std::max<std::uint64_t>(it.offers, 1));
        });
    };
    even_load_measures out;
    out.waits_beside_free_worker =
        per_offer(&simulation_result::waits_beside_free_worker);
    out.refusals_beside_free_worker =
        per_offer(&simulation_result::refusals_beside_free_worker);
    out.messages_per_request = mean_of([](simulation_result const& it) {
        return static_cast<double>(it.messages) /
               static_cast<double>(
                   std::max<std::uint64_t>(it.total().asked, 1));
    });
    for (std::size_t i = 0; i < window_lengths.size(); ++i)
    {
        out.busiest_open_calls[i] = mean_of([i](simulation_result const& it) {
            return it.busiest_to_mean.of_open_calls[i];
        });
        out.busiest_arrivals[i] = mean_of([i](simulation_result const& it) {
            return it.busiest_to_mean.of_arrivals[i];
        });
    }
    return out;
}

warm_up_measures measure_warm_up(std::vector<simulation_result> const& results)
{
    warm_up_measures out;
    out.cold_crashes = mean_over(results, [](simulation_result const& it) {
        return static_cast<double>(it.cold_crashes);
    });
    out.health_requests = mean_over(results, [](simulation_result const& it) {
        return static_cast<double>(it.health_requests);
    });
    out.recovery_s = mean_over(results, [](simulation_result const& it) {
        return it.recovery_s.value_or(0);
    });
    return out;
}

std::string text(estimate const& it)
{
    return fmt::format("{:.3f}±{:.3f}", it.mean, it.half_interval);
}

// Prints the measures if the pattern has cold workers.
void print_warm_up(deployment const& spec, warm_up_measures const& it)
{
    if (spec.cold)
    {
        fmt::print("cold_crashes={} health_requests={} recovery_s={}\n",
                   text(it.cold_crashes), text(it.health_requests),
                   text(it.recovery_s));
    }
}

void print_measures(even_load_measures const& it)
{
    fmt::print("waits_beside_free={} refusals_beside_free={} "
               "messages_per_request={}\n",
               text(it.waits_beside_free_worker),
               text(it.refusals_beside_free_worker),
               text(it.messages_per_request));
    for (std::size_t i = 0; i < window_lengths.size(); ++i)
    {
        fmt::print(
            "window_ms={} busiest_open_calls={} busiest_arrivals={}\n",
            shortest_window.count() * static_cast<long>(window_lengths[i]),
            text(it.busiest_open_calls[i]), text(it.busiest_arrivals[i]));
    }
}

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
               "mb_between_data_centres={:.1f} refused_at_first_node={}\n",
               it.total().worth_ratio(), it.nested, it.nested_failed,
               it.mean_wait_ms, it.megabytes_between_data_centres,
               it.refused_at_first_node);
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
    else if (rule == "even-load")
    {
        it.spreads_load = false;
    }
    else if (rule == "first-node")
    {
        it.refuses_at_first_node = false;
    }
    else if (rule == "cold-rate")
    {
        it.keeps_cold_rate = false;
    }
    else if (rule == "cold-reports")
    {
        it.reports_cold_rate = false;
    }
    else if (rule == "evacuation-doubt")
    {
        it.doubts_after_evacuation = false;
    }
    else if (rule == "slowdown")
    {
        it.asks_slow_workers = false;
    }
    else if (rule == "second-cold-period")
    {
        it.asks_after_cold_time = false;
    }
    else if (!rule.empty())
    {
        return core::failure(
            core::error_kind::invalid_settings,
            "unknown rule; the rules are paced-bodies, paced-responses, "
            "free-slots, nested-first, even-load, first-node, cold-rate, "
            "cold-reports, evacuation-doubt, slowdown, second-cold-period");
    }
    return it;
}

comparison compare(deployment const& spec, policy const& reduced,
                   std::uint64_t first_seed, std::size_t seeds)
{
    std::vector<simulation_result> results;
    std::vector<simulation_result> results_without;
    std::vector<double> gains;
    comparison out;
    for (std::size_t i = 0; i < seeds; ++i)
    {
        auto without = std::async(std::launch::async, [&] {
            return run_simulation(spec, reduced, first_seed + i);
        });
        results.push_back(run_simulation(spec, {}, first_seed + i));
        results_without.push_back(without.get());
        auto const worth = results.back().total().worth_ratio();
        auto const worth_without = results_without.back().total().worth_ratio();
        out.worth += worth / static_cast<double>(seeds);
        out.worth_without += worth_without / static_cast<double>(seeds);
        gains.push_back(worth - worth_without);
    }
    auto const gain = estimate_mean(gains);
    out.gain = gain.mean;
    out.half_interval = gain.half_interval;
    out.measures = measure(results);
    out.measures_without = measure(results_without);
    out.warm_up = measure_warm_up(results);
    out.warm_up_without = measure_warm_up(results_without);
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
    auto const spec = options.workers == 0
                          ? found->make()
                          : resize(found->make(), options.workers);
    if (options.seeds > 1)
    {
        auto const it = compare(spec, *rules, options.seed, options.seeds);
        fmt::print("pattern={} without={} seeds={} worth={:.3f} "
                   "worth_without={:.3f} gain={:.3f} half_interval={:.3f}\n",
                   found->name, options.without, options.seeds, it.worth,
                   it.worth_without, it.gain, it.half_interval);
        print_measures(it.measures);
        print_warm_up(spec, it.warm_up);
        fmt::print("without={}:\n", options.without);
        print_measures(it.measures_without);
        print_warm_up(spec, it.warm_up_without);
        return 0;
    }
    auto const it = run_simulation(spec, *rules, options.seed);
    print_totals(it);
    print_measures(measure({it}));
    print_warm_up(spec, measure_warm_up({it}));
    if (options.by_second)
    {
        print_seconds(it);
    }
    return 0;
}

} // namespace yuccafall::bench::model
