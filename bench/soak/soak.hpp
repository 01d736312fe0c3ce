// A randomized soak test. It runs nodes as processes of the real program on
// this machine and injects overlapping faults from outside. It checks the
// guarantees to callers by the responses that the callers received and by the
// requests that the workers ran.
#ifndef YUCCAFALL_BENCH_SOAK_SOAK_HPP
#define YUCCAFALL_BENCH_SOAK_SOAK_HPP

#include <cstdint>
#include <string>
#include <vector>

#include "core/units.hpp"

namespace yuccafall::bench::soak {

struct soak_options
{
    std::uint64_t seed = 1;
    std::size_t nodes = 6;
    // Faults are injected for this long.
    core::milliseconds length{8'000};
    // Adds callers that keep their connections open, nodes that read their
    // settings again, workers that state a limit or become cold, and
    // evacuations. The sequence of faults of a seed depends on it.
    bool extended = false;
    // Adds workers whose responses are malformed. The sequence of faults of a
    // seed depends on it.
    bool malformed_responses = false;
};

struct soak_result
{
    // Number of all calls, of those that got status 200 and of those that got
    // status 503.
    std::size_t calls = 0;
    std::size_t answered = 0;
    std::size_t refused = 0;
    std::size_t faults = 0;
    // Number of requests that workers got while they were cold.
    std::size_t cold_arrivals = 0;
    // One line for each violation of a guarantee.
    std::vector<std::string> broken;
    // The logs of the nodes that did not serve after the faults had ended.
    std::vector<std::string> logs;
};

void record_violation(soak_result& result, std::string what);

soak_result run_soak(soak_options const& options);

// Runs the soak test and prints a summary line and one line for each violation.
// Returns the exit code, which is 1 if a guarantee was violated.
int report_soak(soak_options const& options);

} // namespace yuccafall::bench::soak

#endif
