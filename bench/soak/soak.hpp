// A randomized soak: the real program as separate processes on this machine,
// with faults from outside that come in series and overlap, and the promises to
// callers checked from what callers and workers see.
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
    core::milliseconds length{8'000};
};

struct soak_result
{
    std::size_t calls = 0;
    std::size_t answered = 0;
    std::size_t refused = 0;
    std::size_t faults = 0;
    // One line for each promise that was broken.
    std::vector<std::string> broken;
};

soak_result run_soak(soak_options const& options);

// Prints one line, and one for each broken promise. Returns the exit code.
int report_soak(soak_options const& options);

} // namespace yuccafall::bench::soak

#endif
