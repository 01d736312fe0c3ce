// Counts the requests of callers. Traffic threads write the counters, and the
// metrics page reads them.
#ifndef YUCCAFALL_INGRESS_COUNTERS_HPP
#define YUCCAFALL_INGRESS_COUNTERS_HPP

#include <algorithm>
#include <array>

#include "core/counter.hpp"
#include "core/error.hpp"
#include "core/units.hpp"
#include "http/connection_counters.hpp"
#include "http/response_fault.hpp"

namespace yuccafall::ingress {

// Upper bounds of the latency buckets.
inline constexpr std::array<core::milliseconds, 10> latency_bounds{
    core::milliseconds(5),   core::milliseconds(20),   core::milliseconds(50),
    core::milliseconds(100), core::milliseconds(200),  core::milliseconds(400),
    core::milliseconds(800), core::milliseconds(1600), core::milliseconds(3200),
    core::milliseconds(6400)};

// Time from the arrival of a request to the response of its worker.
struct latency_histogram
{
    // One bucket per bound, and one more for latencies above the last bound.
    std::array<core::counter, latency_bounds.size() + 1> buckets{};
    core::counter sum_ms{0};

    void observe(core::milliseconds latency)
    {
        std::size_t i = 0;
        while (i < latency_bounds.size() && latency > latency_bounds[i])
        {
            ++i;
        }
        core::add(buckets[i]);
        core::add(sum_ms, static_cast<std::uint64_t>(latency.count()));
    }
};

// Calls by rank. The last counter is for all ranks without one of their own.
struct counts_by_rank
{
    std::array<core::counter, 9> counts{};

    void add(core::rank rank)
    {
        core::add(
            counts[std::min<std::size_t>(rank.value(), counts.size() - 1)]);
    }
};

struct counters
{
    core::counter requests{0};
    core::counter answered{0};
    core::counter callers_disconnected{0};
    // Offers of calls to upstreams, that is, all attempts.
    core::counter offers{0};
    // Attempts after one that reached no worker, except after the refusal of an
    // offer that required a free slot.
    core::counter redirects{0};
    // Refusals of offers that required a free slot. The worker was full
    // although the load reports at this node showed it as free, or as worth a
    // wait while another was free.
    core::counter free_slot_refusals{0};
    // Nodes that are unresponsive now.
    core::counter unresponsive_nodes{0};
    // Offers that would have gone to an unresponsive node.
    core::counter unresponsive_avoided{0};
    // Calls that were offered to another worker instead of waiting longer for
    // an unresponsive node.
    core::counter unresponsive_moved{0};
    // Attempts after one that reached a worker.
    core::counter retries{0};
    // Retries that were not made because the retry budget was exhausted.
    core::counter retries_denied{0};
    // Error responses to callers, indexed by error kind.
    std::array<core::counter, core::error_kind_count> refused{};
    latency_histogram latency;
    // Calls that were refused at this node because the queues of all
    // compared workers would refuse them, and those that were offered
    // nevertheless, so that the queues report their load.
    counts_by_rank first_node_refusals;
    core::counter first_node_probes{0};
    // Calls that were refused because the memory of responses was used up.
    core::counter responses_without_memory{0};
    // Responses that other nodes have passed on and that were not used.
    http::response_fault_counters invalid_responses;
    http::connection_counters connections;
};

} // namespace yuccafall::ingress

#endif
