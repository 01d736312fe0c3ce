// Measures of the real program under load. A measure is a run that prints
// figures; the bench program selects it by its name.
#ifndef YUCCAFALL_BENCH_MEASURES_HPP
#define YUCCAFALL_BENCH_MEASURES_HPP

#include <cstdint>
#include <string_view>
#include <vector>

namespace yuccafall::bench {

struct measure_options
{
    std::uint64_t seed = 1;
    std::size_t nodes = 14;
};

// Each measure prints its result as one line of key=value pairs and returns the
// exit code: 0, or 1 if a guarantee to callers was violated, or 2 if the
// measure could not be completed. The demo prints a line for each of its steps
// as well.
struct measure
{
    std::string_view name;
    std::string_view summary;
    int (*run)(measure_options const&);
};

int run_demo(measure_options const& options);
int run_added_latency(measure_options const& options);
int run_at_most_once(measure_options const& options);
int run_convergence(measure_options const& options);
int run_store_calls(measure_options const& options);
int run_footprint(measure_options const& options);

std::vector<measure> const& all_measures();

} // namespace yuccafall::bench

#endif
