// Simulates a deployment under load on a simulated clock. The simulated nodes
// make their decisions with the code of the real program: slot queue, admission
// at the first node, choice of upstreams, next step after a refusal, estimate
// of the callers' timeouts, retry budget and warm-up of workers. There are no
// sockets, and nodes do not fail.
//
// A rule of the model is a part of the nodes' behaviour that a simulation can
// disable, to measure how much worth callers lose without it.
#ifndef YUCCAFALL_BENCH_MODEL_SIMULATION_HPP
#define YUCCAFALL_BENCH_MODEL_SIMULATION_HPP

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "bench/model/deployment.hpp"
#include "bench/model/load_measures.hpp"

namespace yuccafall::bench::model {

// The rules that are enabled in a simulation.
struct policy
{
    // Nodes request bodies no faster than their link carries them.
    bool paces_bodies = true;
    // Long responses are sent in parts at the rate of the link, and the link's
    // backlog counts in admission and in the choice of an upstream.
    bool paces_responses = true;
    // A call that would have to wait is refused if the caller's node believes
    // that another worker has a free slot.
    bool prefers_free_slots = true;
    // Nested calls go ahead of callers' requests.
    bool puts_nested_first = true;
    // Load reports are interpreted by their age, and calls are spread over the
    // workers that seem free.
    bool spreads_load = true;
    // A call that every queue would refuse is refused at the caller's node.
    bool refuses_at_first_node = true;
    // The node beside a worker keeps to the cold rate of the worker while the
    // worker is or may be cold.
    bool keeps_cold_rate = true;
    // Load reports state the cold rate in force.
    bool reports_cold_rate = true;
    // The end of an evacuation makes the state of the workers unknown.
    bool doubts_after_evacuation = true;
    // A worker that becomes slow is asked whether it is cold.
    bool asks_slow_workers = true;
    // After a cold time that the worker has stated, it is asked at once if it
    // is slow.
    bool asks_after_cold_time = true;
};

// Results of callers' requests.
struct request_stats
{
    // Number of requests, each counted once whatever its number of attempts.
    std::uint64_t asked = 0;
    // Number of responses within the route's target latency, and of those after
    // it.
    std::uint64_t in_aim = 0;
    std::uint64_t late = 0;
    // Number of requests whose last attempt was refused, and of those whose
    // last attempt failed.
    std::uint64_t refused = 0;
    std::uint64_t failed = 0;
    // Sum of the worth if all responses came within the target latency, and sum
    // of the worth of the responses that came.
    double possible_worth = 0;
    double earned_worth = 0;

    double worth_ratio() const
    {
        return possible_worth > 0 ? earned_worth / possible_worth : 1;
    }
};

struct simulation_result
{
    // Callers' requests by route.
    std::map<std::string, request_stats> by_route;
    // Callers' requests by the second of their first attempt.
    std::vector<request_stats> by_second;
    // Number of nested calls, and of those that had no response in time.
    std::uint64_t nested = 0;
    std::uint64_t nested_failed = 0;
    // Mean time from the offer of a call to a worker's node until it gets a
    // slot, for the calls that got one.
    double mean_wait_ms = 0;
    double megabytes_between_data_centres = 0;
    // Number of messages between nodes.
    std::uint64_t messages = 0;
    // Number of offers that reached the node of a worker, and of those that had
    // to wait there or were refused while another worker of the service in the
    // data centre of the caller's node had a free slot.
    std::uint64_t offers = 0;
    std::uint64_t waits_beside_free_worker = 0;
    std::uint64_t refusals_beside_free_worker = 0;
    // Number of calls that were refused at the caller's node without an offer.
    std::uint64_t refused_at_first_node = 0;
    load_ratios busiest_to_mean;
    // Number of crashes of workers that got too many requests while they were
    // cold, and number of health requests.
    std::uint64_t cold_crashes = 0;
    std::uint64_t health_requests = 0;
    // Time from the end of the last power cut or evacuation to the first second
    // whose worth_ratio() is 0.9 or more, in seconds, or to the end of the
    // simulated time if there is none. Empty without such an event.
    std::optional<double> recovery_s;

    request_stats total() const;
};

simulation_result run_simulation(deployment const& spec, policy const& rules,
                                 std::uint64_t seed);

} // namespace yuccafall::bench::model

#endif
