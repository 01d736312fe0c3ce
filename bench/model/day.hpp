// Plays one day of a deployment on a simulated clock, with the product's own
// decisions at each node: slot queue, choice of upstreams, next step, patience
// of callers and retry budget. No sockets, and no failing nodes.
#ifndef YUCCAFALL_BENCH_MODEL_DAY_HPP
#define YUCCAFALL_BENCH_MODEL_DAY_HPP

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "bench/model/deployment.hpp"

namespace yuccafall::bench::model {

// Rules that can be taken out, to see what each is worth.
struct policy
{
    bool paces_bodies = true;
    bool prefers_free_slots = true;
    bool puts_nested_first = true;
};

struct tally
{
    std::uint64_t asked = 0;
    std::uint64_t in_aim = 0;
    std::uint64_t late = 0;
    // At their last try.
    std::uint64_t refused = 0;
    std::uint64_t failed = 0;
    double owed = 0;
    double earned = 0;

    double served_worth() const { return owed > 0 ? earned / owed : 1; }
};

struct day_result
{
    // By route, of callers' requests.
    std::map<std::string, tally> by_route;
    // By second in which the request was first made.
    std::vector<tally> by_second;
    // Calls of workers that were made, and that had no answer in time.
    std::uint64_t nested = 0;
    std::uint64_t nested_failed = 0;
    // Mean time from an arrival at a worker's node to its slot.
    double mean_wait_ms = 0;
    double megabytes_between_data_centres = 0;

    tally total() const;
};

day_result play_day(deployment const& what, policy const& with,
                    std::uint64_t seed);

} // namespace yuccafall::bench::model

#endif
