// Runs a measure by its name, the model or the soak test.
#include <algorithm>
#include <string_view>

#include <fmt/format.h>
#include <gflags/gflags.h>

#include "bench/measures.hpp"
#include "bench/model/experiment.hpp"
#include "bench/soak/soak.hpp"
#include "stand_ins/child_process.hpp"

DEFINE_uint64(seed, 1, "seed of the random numbers");
DEFINE_uint64(nodes, 14, "number of VMs of the deployment");

DEFINE_string(pattern, "", "model: pattern of load to simulate");
DEFINE_string(without, "", "model: rule to disable");
DEFINE_uint64(seeds, 1,
              "model: number of seeds; more than one compares the results "
              "with and without the rule");
DEFINE_uint64(
    workers, 0,
    "model: number of workers, with the demand in proportion; 0 keeps "
    "those of the pattern");
DEFINE_bool(malformed_responses, false,
            "Whether workers of the soak test malform their responses.");
DEFINE_bool(extended, false,
            "soak: kept connections, SIGHUP, evacuations, and workers with a "
            "limit or that become cold");
DEFINE_uint64(length_ms, 8'000, "soak: time in which faults are injected");
DEFINE_bool(by_second, false, "model: print the results of each second");

int main(int argc, char** argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    yuccafall::stand_ins::kill_children_on_signal();
    if (argc == 2 && std::string_view(argv[1]) == "model")
    {
        return yuccafall::bench::model::run_experiment(
            {FLAGS_pattern, FLAGS_without, FLAGS_seed, FLAGS_seeds,
             FLAGS_workers, FLAGS_by_second});
    }
    if (argc == 2 && std::string_view(argv[1]) == "soak")
    {
        return yuccafall::bench::soak::report_soak(
            {FLAGS_seed, FLAGS_nodes,
             yuccafall::core::milliseconds(static_cast<long>(FLAGS_length_ms)),
             FLAGS_extended, FLAGS_malformed_responses});
    }
    auto const& measures = yuccafall::bench::all_measures();
    auto const found =
        std::find_if(measures.begin(), measures.end(), [&](auto const& it) {
            return argc == 2 && it.name == argv[1];
        });
    if (found == measures.end())
    {
        fmt::print(stderr, "usage: yuccafall_bench NAME [--seed=N] "
                           "[--nodes=N]\n"
                           "       yuccafall_bench model --pattern=NAME "
                           "[--without=RULE] [--seeds=N] [--workers=N] "
                           "[--by_second]\n"
                           "       yuccafall_bench soak [--seed=N] [--nodes=N] "
                           "[--length_ms=N] [--extended] "
                           "[--malformed_responses]\n");
        for (auto const& it : measures)
        {
            fmt::print(stderr, "  {:14} {}\n", it.name, it.summary);
        }
        return 64;
    }
    return found->run({FLAGS_seed, FLAGS_nodes});
}
