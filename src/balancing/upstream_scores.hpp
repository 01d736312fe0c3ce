// Chooses the upstream of a call among the workers of a service.
//
// A node estimates the answer time of each worker from the last load report of
// the node beside that worker, the calls that it has sent there since, and the
// run times of its calls there. It chooses the worker with the earliest
// expected answer. A random factor keeps nodes that share the same stale
// reports from all choosing the same worker.
#ifndef YUCCAFALL_BALANCING_UPSTREAM_SCORES_HPP
#define YUCCAFALL_BALANCING_UPSTREAM_SCORES_HPP

#include <deque>
#include <map>
#include <set>
#include <variant>
#include <vector>

#include "core/endpoint.hpp"
#include "core/ids.hpp"
#include "core/random.hpp"
#include "core/units.hpp"

namespace yuccafall::balancing {

struct upstream
{
    core::upstream_id id;
    // Address at which the node beside the worker accepts calls.
    core::endpoint node;
    core::data_centre data_centre;
    core::slot_count slots{1};
};

// Load of a worker. The node beside the worker sends it with each answer and
// when the load changes.
struct load_report
{
    core::slot_count running;
    core::queue_length waiting;
    core::slot_count slots;
    // Expected time until a slot is free, for a call that goes ahead of all
    // waiting calls and for a call that goes behind all of them.
    core::milliseconds wait_at_front{0};
    core::milliseconds wait_at_back{0};
    // Expected time until all pending bodies have arrived at the worker's node,
    // and the rate at which bodies arrive. The rate is 0 if it is not known.
    core::milliseconds wait_for_bodies{0};
    core::bytes_per_second body_rate{0};
    // Present service time relative to the usual one, which is 100.
    core::percentage pace{100};
    // Share of recent calls to the worker that it rejected.
    core::percentage rejection_share;
};

// Result of a call that was sent to an upstream.
enum class outcome
{
    answered,
    // The node or the worker refused the call before it ran.
    refused,
    // The node could not be reached, or the connection to it was lost.
    unreachable,
    // Another worker now uses the address.
    address_reused,
    // The worker failed, closed the connection early or sent an invalid answer.
    failed,
    // The call was given up because its deadline had passed or its caller had
    // disconnected.
    abandoned,
};

struct choice_settings
{
    core::data_centre own_data_centre;
    // Added to the expected answer time of a worker in another data centre. It
    // stands for the round trip and the cost of the traffic.
    core::milliseconds cross_data_centre_cost{40};
    // Added in the same way for each kilobyte of the request's body.
    core::milliseconds cross_data_centre_cost_per_kb{1};
    // A report does not include calls that were sent less than this time before
    // it arrived.
    core::milliseconds report_delay{12};
    // Shortest and longest time for which a worker gets no calls after
    // consecutive failures.
    core::milliseconds min_ejection{500};
    core::milliseconds max_ejection{4'000};
    // How long a worker whose address another worker has taken gets no calls.
    // By then its entry has left the list of workers.
    core::milliseconds reused_address_ejection{6'000};
    std::uint32_t failures_to_eject = 2;
    // Number of workers compared for one call, in the data centre of this node
    // and in all others. The limits bound the cost in large services. The limit
    // for this node's data centre is higher: most calls stay there, so the
    // choice there determines how long they wait.
    std::size_t max_local_candidates = 8;
    std::size_t max_remote_candidates = 4;
};

// Results of choosing an upstream.
struct chosen
{
    // Invariant: points into the list that was passed to choose().
    upstream const* target;
    // Another candidate is believed to have a free slot.
    bool has_alternative = false;
};
struct none_available
{};
using choice = std::variant<chosen, none_available>;

// The properties of a call on which the choice depends.
struct call_traits
{
    core::route_name route;
    core::byte_count body_size;
    // The body is sent after the call has been accepted.
    bool body_follows = false;
    // The call goes ahead of other calls at the worker.
    bool nested = false;
};

// Invariant: used by only one traffic thread.
class upstream_scores
{
public:
    explicit upstream_scores(choice_settings settings)
        : settings_(std::move(settings))
    {}

    // Ignores the upstreams in `tried`.
    choice choose(std::vector<upstream> const& upstreams,
                  std::set<core::upstream_id> const& tried,
                  call_traits const& traits, core::instant now,
                  core::random_source& random);

    void record_sent(core::upstream_id const& id, core::instant now);
    void record_ended(core::upstream_id const& id, outcome result,
                      core::instant now);
    void record_report(core::upstream_id const& id, load_report const& load,
                       core::instant now);
    // Records how long a call of the route held a slot of the worker.
    void record_run(core::upstream_id const& id, core::route_name const& route,
                    core::milliseconds run_time);

    // Removes the state of workers that are not listed any more.
    void remove_unlisted(std::set<core::upstream_id> const& listed);

    bool is_ejected(core::upstream_id const& id, core::instant now) const;

private:
    struct upstream_state
    {
        load_report load;
        core::instant reported_at{};
        bool has_report = false;
        // Calls from this node that have not ended.
        std::uint32_t in_flight = 0;
        // Send times of the calls that the last report does not include.
        std::deque<core::instant> unreported_calls;
        // Moving average of the run time at this worker relative to the route's
        // mean over all workers; 1 is average.
        double run_time_ratio = 1;
        std::uint32_t failures = 0;
        core::milliseconds ejection_time{0};
        core::instant ejected_until{};
    };

    // Expected time until the call gets a slot at the worker, and until its
    // answer arrives.
    struct estimate
    {
        core::duration wait{};
        core::duration answer{};
    };
    estimate estimate_for(upstream const& it, call_traits const& traits,
                          core::instant now) const;
    // Draws at random at most max_local_candidates workers from this node's
    // data centre and at most max_remote_candidates from others.
    std::vector<upstream const*>
    sample_candidates(std::vector<upstream const*> upstreams,
                      core::random_source& random) const;
    std::vector<upstream const*>
    eligible(std::vector<upstream> const& upstreams,
             std::set<core::upstream_id> const& tried, core::instant now) const;

    // Estimate for a route that has not run yet.
    static constexpr core::milliseconds initial_run_estimate{100};

    double mean_run_ms(core::route_name const& route) const;

    choice_settings settings_;
    std::map<core::upstream_id, upstream_state> states_;
    // Mean time in a slot, in milliseconds, over all upstreams.
    std::map<core::route_name, double> mean_runs_;
};

} // namespace yuccafall::balancing

#endif
