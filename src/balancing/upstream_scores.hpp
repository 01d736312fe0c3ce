// Chooses the upstream of a call among the workers of a service.
//
// A node estimates when each worker would respond from the most recent load
// report of the node beside that worker, the calls that it has sent there
// since, and the run times of its calls there. The earliest expected response
// decides whether the call waits and whether it leaves the data centre. A
// random factor keeps nodes that have the same outdated reports from all
// choosing the same worker. With many nodes this is not enough, so that a call
// that need not wait goes to one of the free workers by draw_free_worker().
//
// The run time of a call is the time for which it holds a slot of the worker.
// An ejected worker gets no calls for a limited time, because calls to it have
// failed. A nested call is one that a worker makes while it runs another
// request.
#ifndef YUCCAFALL_BALANCING_UPSTREAM_SCORES_HPP
#define YUCCAFALL_BALANCING_UPSTREAM_SCORES_HPP

#include <deque>
#include <map>
#include <set>
#include <variant>
#include <vector>

#include "balancing/candidate_estimate.hpp"
#include "balancing/expected_load.hpp"
#include "balancing/load_report.hpp"
#include "core/endpoint.hpp"
#include "core/ids.hpp"
#include "core/random.hpp"
#include "core/stated_rate.hpp"
#include "core/units.hpp"
#include "membership/leaving_workers.hpp"

namespace yuccafall::balancing {

// A worker that may receive calls of the service.
struct upstream
{
    core::upstream_id id;
    core::worker_start started;
    // Address at which the node beside the worker accepts calls.
    core::endpoint node;
    core::data_centre data_centre;
    core::slot_count slots{1};
};

// How a call that was sent to an upstream ended.
enum class outcome
{
    answered,
    // The node beside the worker, or the worker, refused the call before it
    // ran.
    refused,
    // The node beside the worker could not be reached, the connection to it was
    // lost, or it reported that the worker is unreachable or leaving.
    unreachable,
    // Another worker now uses the address.
    address_reused,
    // The worker failed, closed the connection early or sent an invalid
    // response.
    failed,
    // The call was ended because its deadline had passed or its caller had
    // disconnected.
    abandoned,
};

struct choice_settings
{
    core::data_centre own_data_centre;
    // The node that chooses. The response of the worker beside it crosses no
    // link between nodes.
    core::endpoint own_node;
    // Added to the expected response time of a worker in another data centre.
    // It stands for the round trip and the cost of the traffic.
    core::milliseconds cross_data_centre_cost{40};
    // Added in the same way for each kilobyte of the request's and of the
    // response's body.
    core::milliseconds cross_data_centre_cost_per_kb{1};
    // A load report is taken not to include calls that this node sent less than
    // this time before the report arrived.
    core::milliseconds report_delay{12};
    // Shortest and longest time for which a worker is ejected. The time doubles
    // with each further failure.
    core::milliseconds min_ejection{500};
    core::milliseconds max_ejection{4'000};
    // How long a worker is ejected when another worker has taken its address.
    // By then its entry has been removed from the list of workers.
    core::milliseconds reused_address_ejection{6'000};
    // Number of consecutive failed calls after which a worker is ejected.
    std::uint32_t failures_to_eject = 2;
    // Maximum number of workers compared for one call, in this node's data
    // centre and in all others together. The limits bound the time of a choice
    // in large services. The limit for this node's data centre is higher: most
    // calls stay there, so the choice there determines how long they wait.
    std::size_t max_local_candidates = 8;
    std::size_t max_remote_candidates = 4;
    // Load reports are interpreted by their age, and calls are spread over free
    // workers, if there are enough nodes (see spreads_load() below). The model
    // disables this to measure its effect.
    bool spreads_load = true;
};

// Results of choosing an upstream.
struct chosen
{
    // Invariant: points into the list that was passed to choose().
    upstream const* target = nullptr;
    // True if another candidate is believed to have a free slot.
    bool has_alternative = false;
    // True if another upstream would have been chosen if its node were not
    // unresponsive.
    bool avoids_unresponsive_node = false;
    // The estimates of all candidates, including the target. Empty if workers
    // beside unresponsive nodes were left out.
    std::vector<candidate_estimate> candidates;
};
struct none_available
{};
using choice = std::variant<chosen, none_available>;

// The properties of a call on which the choice depends.
struct call_traits
{
    core::route_name route;
    core::byte_count body_size;
    // True if the body is sent only after the other node has requested it.
    bool body_follows = false;
    // True for a nested call, which goes ahead of other calls at the worker.
    bool nested = false;
    // True if the response is expected to be long, so that it waits until the
    // link of the worker's VM has carried those before it.
    bool long_response = false;
    // Urgency of the call's route, for the estimates by which calls are
    // refused. The choice assumes that a call that is not nested goes behind
    // all others.
    core::rank rank;
};

// Not thread-safe: each object is used on one thread only, the traffic thread,
// which handles requests.
class upstream_scores
{
public:
    explicit upstream_scores(choice_settings settings)
        : settings_(std::move(settings))
    {}

    // Sets the number of nodes that choose among the same workers.
    void set_nodes(core::node_count nodes) { nodes_ = nodes; }

    // Chooses none of the upstreams in `tried`.
    choice choose(std::vector<upstream> const& upstreams,
                  std::set<core::upstream_id> const& tried,
                  call_traits const& traits, core::instant now,
                  core::random_source& random);

    // Records that a call has been offered to the upstream. record_ended() must
    // follow when the call has ended.
    void record_sent(core::upstream_id const& id, core::instant now);
    void record_ended(core::upstream_id const& id, outcome result,
                      core::instant now);
    void record_report(core::upstream_id const& id, load_report const& load,
                       core::instant now);
    // Records how long a call of the route held a slot of the worker.
    void record_run(core::upstream_id const& id, core::route_name const& route,
                    core::milliseconds run_time);

    // Records the size of the body of a response.
    void record_response_size(core::route_name const& route,
                              core::byte_count size);
    // Returns the moving average of the route's response sizes, or 0 if the
    // route has not run yet.
    core::byte_count mean_response_size(core::route_name const& route) const;

    // Records that the worker has stated in a response that it leaves. It is
    // not chosen again.
    void record_leaving(upstream const& it, core::instant now);
    // Records that the connection to the node beside the worker was closed
    // because the node did not respond. Ejects the worker, unless the failure
    // of a call has done so already.
    void record_node_lost(core::upstream_id const& id, core::instant now);

    // Removes the state of workers that are not listed any more.
    void remove_unlisted(std::set<core::upstream_id> const& listed);

    // Records whether a node takes part in the choice. The workers beside an
    // unresponsive node get no calls while another upstream can be chosen. This
    // is not an ejection, and changes no count of failures.
    void record_responsive(core::endpoint const& node, bool responsive);
    bool is_unresponsive(core::endpoint const& node) const
    {
        return unresponsive_nodes_.count(node) != 0;
    }
    std::size_t unresponsive_nodes() const
    {
        return unresponsive_nodes_.size();
    }

    bool is_ejected(core::upstream_id const& id, core::instant now) const;

    // Returns what the worker has stated most recently as far as this node
    // knows. A node beside the worker that has restarted learns it from offers.
    core::stated_rate stated_rate(core::upstream_id const& id) const;

private:
    struct upstream_state
    {
        load_report load;
        expected_load expected;
        core::instant reported_at{};
        bool has_report = false;
        // Number of calls from this node that have not ended.
        std::uint32_t in_flight = 0;
        // Send times of the calls that the most recent report does not
        // include.
        std::deque<core::instant> unreported_calls;
        // Moving average of the run time at this worker divided by the route's
        // mean run time over all workers; 1 is average.
        double run_time_ratio = 1;
        // Number of consecutive failures.
        std::uint32_t failures = 0;
        // Length of the most recent ejection, or 0 after a success.
        core::milliseconds ejection_time{0};
        core::instant ejected_until{};
    };

    // Two expected times, both counted from now: until the call gets a slot at
    // the worker, and until its response arrives at this node.
    struct response_estimate
    {
        core::duration time_to_slot{};
        core::duration time_to_response{};
        // Expected number of free slots, which may be a fraction.
        double free_slots = 0;
        // The worker rejects many of its calls.
        bool rejects = false;
        candidate_estimate candidate;
    };
    response_estimate estimate_for(upstream const& candidate,
                                   call_traits const& traits,
                                   core::instant now) const;
    // Returns whether the other nodes are expected to send calls to the same
    // workers before the next load report. If they send less than one, a report
    // holds until the next one, and the fastest worker is chosen.
    void eject(upstream_state& state, core::instant now) const;
    bool spreads_load() const;
    // Returns the index of the worker to which a call goes that need not wait
    // at the candidate `best`.
    std::size_t spread(std::vector<upstream const*> const& candidates,
                       std::vector<response_estimate> const& estimates,
                       std::size_t best, core::random_source& random) const;
    // Draws at random at most max_local_candidates workers from this node's
    // data centre and at most max_remote_candidates from others.
    std::vector<upstream const*>
    sample_candidates(std::vector<upstream const*> upstreams,
                      core::random_source& random) const;
    // Returns the upstreams that do not leave, have not been tried and are not
    // ejected, or those of them that are ejected too if most are.
    std::vector<upstream const*>
    eligible(std::vector<upstream> const& upstreams,
             std::set<core::upstream_id> const& tried, core::instant now) const;

    // Returns those whose nodes are not unresponsive.
    std::vector<upstream const*>
    responsive(std::vector<upstream const*> const& upstreams) const;
    choice choose_among(std::vector<upstream const*> upstreams,
                        call_traits const& traits, core::instant now,
                        core::random_source& random) const;

    // Expected run time of a route that has not run yet.
    static constexpr core::milliseconds initial_run_time{100};

    double mean_run_time_ms(core::route_name const& route) const;

    choice_settings settings_;
    core::node_count nodes_{1};
    membership::leaving_workers leaving_workers_;
    std::map<core::upstream_id, upstream_state> states_;
    std::set<core::endpoint> unresponsive_nodes_;
    // Moving average of the run time of each route over all upstreams, in
    // milliseconds.
    std::map<core::route_name, double> mean_run_times_ms_;
    // Moving average of the response size of each route, in bytes.
    std::map<core::route_name, double> mean_response_sizes_;
};

} // namespace yuccafall::balancing

#endif
