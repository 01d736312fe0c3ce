// Plays a pattern over several seeds, with and without a rule.
#ifndef YUCCAFALL_BENCH_MODEL_EXPERIMENT_HPP
#define YUCCAFALL_BENCH_MODEL_EXPERIMENT_HPP

#include <string>
#include <string_view>

#include "bench/model/day.hpp"
#include "core/error.hpp"

namespace yuccafall::bench::model {

// All rules but the one named; with none where the name is empty.
core::result<policy> policy_without(std::string_view rule);

struct comparison
{
    // Mean over the seeds of the worth that callers got, of what was owed.
    double with = 0;
    double without = 0;
    // Mean of the differences of the same seed, and half of their interval of
    // 95 % confidence.
    double gain = 0;
    double half_interval = 0;
};

comparison compare(deployment const& what, policy const& without,
                   std::uint64_t first_seed, std::size_t seeds);

struct experiment_options
{
    std::string pattern;
    std::string without;
    std::uint64_t seed = 1;
    std::size_t seeds = 1;
    // Rows of figures for each second, as comma-separated values.
    bool by_second = false;
};

// Prints key=value lines. Returns the exit code.
int run_experiment(experiment_options const& options);

} // namespace yuccafall::bench::model

#endif
