// Generates load by simulated clients (callers) that each run on a thread of
// their own, and records the results of their calls.
#ifndef YUCCAFALL_BENCH_LOAD_HPP
#define YUCCAFALL_BENCH_LOAD_HPP

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "stand_ins/deployment.hpp"

namespace yuccafall::bench {

struct call_record
{
    std::string id;
    // Status of the response; 0 if the connection ended without one.
    int status = 0;
    core::duration duration{};
};

struct load_options
{
    std::size_t callers = 4;
    std::size_t calls_per_caller = 250;
    std::string target;
    std::string method = "GET";
    std::uint64_t seed = 1;
    // Sends the calls to the workers directly, not through their nodes.
    bool bypass_nodes = false;
};

// Makes the calls of all callers and returns when the last has ended. Each call
// goes to a randomly chosen VM, and each caller makes one call at a time.
std::vector<call_record> run_load(stand_ins::deployment& deployment,
                                  load_options const& options);

// Returns a quantile of the durations of the calls that got status 200, in
// milliseconds, or 0 if there are none. The level is from 0 to 1.
double duration_quantile_ms(std::vector<call_record> const& calls,
                            double level);

} // namespace yuccafall::bench

#endif
