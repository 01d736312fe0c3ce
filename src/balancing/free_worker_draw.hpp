// Spreads calls over the workers that are believed to have free slots.
//
// Many nodes choose at the same time with the same outdated load reports. If
// each chose the fastest free worker, this worker would be overloaded while
// others are idle. Each node therefore draws one of the fastest free workers
// with a probability in proportion to its free slots and to its speed, so that
// the calls of all nodes together fill the workers evenly.
//
// Only as many workers take part as are needed for the calls that the other
// nodes may send before the next report, so that few nodes use almost only the
// fastest worker.
#ifndef YUCCAFALL_BALANCING_FREE_WORKER_DRAW_HPP
#define YUCCAFALL_BALANCING_FREE_WORKER_DRAW_HPP

#include <cstddef>
#include <vector>

#include "core/random.hpp"
#include "core/units.hpp"

namespace yuccafall::balancing {

struct free_worker
{
    // The caller's number of this worker.
    std::size_t index = 0;
    // Expected number of free slots, which may be a fraction.
    double free_slots = 0;
    core::duration time_to_response{};
};

// Returns how many calls the nodes are expected to send to the candidates of
// one choice before the next load report. `nodes` is the number of nodes that
// choose among the same workers.
double expected_calls_before_report(core::node_count nodes);

// Draws among the fastest workers that together have `min_free_slots`, or among
// all if they have fewer. Returns the index member of the drawn worker. The
// list must not be empty.
std::size_t draw_free_worker(std::vector<free_worker> workers,
                             double min_free_slots,
                             core::random_source& random);

} // namespace yuccafall::balancing

#endif
