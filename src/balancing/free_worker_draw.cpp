// Draws a worker by its free slots and its expected response time.
#include "balancing/free_worker_draw.hpp"

#include <algorithm>

namespace yuccafall::balancing {

namespace {

// Number of calls that a node is expected to send to the candidates of another
// node's choice before the next load report, which is at least 50 ms later. A
// node sends about three calls in this time, to all services and data centres.
// With twice the number, calls of an idle deployment of 14 nodes go to slower
// workers than necessary.
constexpr double calls_per_node = 0.05;

// A worker takes part only if its response is expected within this multiple of
// the time of the fastest worker. The usual speeds of the workers of a service
// differ by a factor of about two; a slower worker has a fault.
constexpr double max_slowdown = 3;

// Lower limits, so that the weights are positive and finite.
constexpr double min_free_slots_counted = 1e-3;
constexpr double min_response_ms = 1;

double response_ms(free_worker const& it)
{
    return std::max(
        std::chrono::duration<double, std::milli>(it.time_to_response).count(),
        min_response_ms);
}

} // namespace

double expected_calls_before_report(core::node_count nodes)
{
    return calls_per_node * static_cast<double>(nodes.value());
}

std::size_t draw_free_worker(std::vector<free_worker> workers,
                             double min_free_slots, core::random_source& random)
{
    std::sort(workers.begin(), workers.end(),
              [](free_worker const& a, free_worker const& b) {
                  return a.time_to_response < b.time_to_response;
              });
    double const slowest_ms = max_slowdown * response_ms(workers.front());
    double free_slots = 0;
    double total_weight = 0;
    std::vector<double> weights;
    for (auto const& it : workers)
    {
        if (!weights.empty() &&
            (free_slots >= min_free_slots || response_ms(it) > slowest_ms))
        {
            break;
        }
        auto const counted = std::max(it.free_slots, min_free_slots_counted);
        free_slots += counted;
        weights.push_back(counted / response_ms(it));
        total_weight += weights.back();
    }
    double remaining = random.unit() * total_weight;
    std::size_t drawn = 0;
    while (drawn + 1 < weights.size() && remaining >= weights[drawn])
    {
        remaining -= weights[drawn++];
    }
    return workers[drawn].index;
}

} // namespace yuccafall::balancing
