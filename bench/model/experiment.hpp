// Simulates a pattern once, or over several seeds with and without a rule. See
// deployment.hpp for patterns and day.hpp for rules.
#ifndef YUCCAFALL_BENCH_MODEL_EXPERIMENT_HPP
#define YUCCAFALL_BENCH_MODEL_EXPERIMENT_HPP

#include <array>
#include <string>
#include <string_view>

#include "bench/model/simulation.hpp"
#include "core/error.hpp"

namespace yuccafall::bench::model {

// Returns the policy without the named rule, or with all rules if the name is
// empty.
core::result<policy> policy_without(std::string_view rule);

// A mean over seeds, and half the width of its 95 % confidence interval.
struct estimate
{
    double mean = 0;
    double half_interval = 0;
};

// How evenly a simulation spread the load, see simulation_result.
struct even_load_measures
{
    // Shares of the offers.
    estimate waits_beside_free_worker;
    estimate refusals_beside_free_worker;
    std::array<estimate, window_lengths.size()> busiest_open_calls;
    std::array<estimate, window_lengths.size()> busiest_arrivals;
    estimate messages_per_request;
};

// What a simulation with cold workers shows, see simulation_result.
struct warm_up_measures
{
    estimate cold_crashes;
    estimate health_requests;
    estimate recovery_s;
};

struct comparison
{
    // Means over the seeds of the worth that callers got, relative to the
    // possible worth, with all rules and without the rule.
    double worth = 0;
    double worth_without = 0;
    // Mean of the paired differences, each of two runs with the same seed, and
    // half the width of its 95 % confidence interval.
    double gain = 0;
    double half_interval = 0;
    // Means over the seeds of the measures of both.
    even_load_measures measures;
    even_load_measures measures_without;
    warm_up_measures warm_up;
    warm_up_measures warm_up_without;
};

comparison compare(deployment const& spec, policy const& reduced,
                   std::uint64_t first_seed, std::size_t seeds);

struct experiment_options
{
    std::string pattern;
    // Name of the rule to disable; empty to keep all rules.
    std::string without;
    // The first seed, and the number of consecutive seeds.
    std::uint64_t seed = 1;
    std::size_t seeds = 1;
    // The pattern is resized to this number of workers; 0 keeps its own.
    std::size_t workers = 0;
    // Prints the results of each second as comma-separated values. This has no
    // effect with more than one seed.
    bool by_second = false;
};

// Prints the results as key=value lines and returns the exit code.
int run_experiment(experiment_options const& options);

} // namespace yuccafall::bench::model

#endif
