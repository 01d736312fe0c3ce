// Chooses the upstream of a call among the workers of a service.
//
// What a node knows of a worker is the last report of the node beside it, what
// it has sent there since, and how long calls have run there. The choice is the
// worker with the earliest expected answer; a random factor keeps nodes that
// share stale reports from all choosing the same one.
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
    // Where the node beside the worker takes calls.
    core::endpoint node;
    core::data_centre data_centre;
    core::slot_count slots{1};
};

// Sent by the node beside a worker with each answer, and when its load changes.
struct load_report
{
    core::slot_count running;
    core::queue_length waiting;
    core::slot_count slots;
    // Expected time until a slot is free for a call that goes before all others
    // and for one that goes after them.
    core::milliseconds wait_first{0};
    core::milliseconds wait_last{0};
    // Until all bodies that are awaited there have arrived, and how fast bodies
    // arrive; 0 where that is not known.
    core::milliseconds wait_for_bodies{0};
    core::bytes_per_second body_rate{0};
    // How long work takes now; 100 is as usual.
    core::percentage pace{100};
    // Share of the calls sent to the worker that it turned away lately.
    core::percentage rejecting;
};

// What became of a call that was sent to an upstream.
enum class outcome
{
    answered,
    // Turned away by the node or the worker before it ran.
    refused,
    // The node could not be reached, or the connection to it broke.
    unreachable,
    // Another worker has taken the address.
    gone,
    // The worker failed, broke off or answered nonsense.
    failed,
    // Given up for the caller's sake.
    abandoned,
};

struct choice_settings
{
    core::data_centre own;
    // Added to the expected answer of a worker in another data centre: the
    // way there and back, and what the bytes cost.
    core::milliseconds crossing{40};
    // The same for each kilobyte of the request's body.
    core::milliseconds crossing_per_kb{1};
    // Calls sent less than this before a report are not counted in it yet.
    core::milliseconds report_delay{12};
    // First and longest time without calls after failures in a row.
    core::milliseconds first_ejection{500};
    core::milliseconds longest_ejection{4'000};
    // An entry of a worker that has ended goes after this.
    core::milliseconds gone_ejection{6'000};
    std::uint32_t failures_to_eject = 2;
    // Workers looked at for one call in the own data centre and in others;
    // bounds the cost in large services. Most calls stay in the own one, so
    // that the choice there decides how long they wait.
    std::size_t near_candidates = 8;
    std::size_t far_candidates = 4;
};

// Results of a choice.
struct chosen
{
    // Invariant: points into the list that was given.
    upstream const* to;
    // Another candidate is believed to have a free slot.
    bool has_alternative = false;
};
struct none_known
{};
using choice = std::variant<chosen, none_known>;

struct demand
{
    core::route_name route;
    core::byte_count body;
    // The body is sent once the call has been accepted.
    bool body_follows = false;
    // Goes before other calls at the worker.
    bool nested = false;
};

// Invariant: used by one traffic thread.
class upstream_scores
{
public:
    explicit upstream_scores(choice_settings settings)
        : settings_(std::move(settings))
    {}

    // Leaves out those in `tried`.
    choice choose(std::vector<upstream> const& among,
                  std::set<core::upstream_id> const& tried, demand const& what,
                  core::instant now, core::random_source& random);

    void sent(core::upstream_id const& to, core::instant now);
    void ended(core::upstream_id const& to, outcome how, core::instant now);
    void reported(core::upstream_id const& of, load_report const& it,
                  core::instant now);
    // A call of the route held a slot there for this long.
    void ran(core::upstream_id const& at, core::route_name const& route,
             core::milliseconds took);

    // Forgets workers that are not listed any more.
    void keep_only(std::set<core::upstream_id> const& listed);

    bool is_ejected(core::upstream_id const& id, core::instant now) const;

private:
    struct record
    {
        load_report load;
        core::instant reported_at{};
        bool has_report = false;
        // Calls of this node that have not ended.
        std::uint32_t in_flight = 0;
        // When calls were sent that the last report does not count.
        std::deque<core::instant> sent_since;
        // Time of calls here as a part of their time anywhere; 1 is average.
        double slowness = 1;
        std::uint32_t failures = 0;
        core::milliseconds ejection{0};
        core::instant ejected_until{};
    };

    // Time until the call gets a slot there, and until it has run.
    struct estimate
    {
        core::duration wait{};
        core::duration answer{};
    };
    estimate estimated(upstream const& it, demand const& what,
                       core::instant now) const;
    // At most the numbers of the settings, drawn at random.
    std::vector<upstream const*>
    draw_candidates(std::vector<upstream const*> from,
                    core::random_source& random) const;
    std::vector<upstream const*>
    usable(std::vector<upstream> const& among,
           std::set<core::upstream_id> const& tried, core::instant now) const;

    // Assumed of a route that has not been run yet.
    static constexpr core::milliseconds assumed_run{100};

    double usual_run_ms(core::route_name const& route) const;

    choice_settings settings_;
    std::map<core::upstream_id, record> records_;
    // Mean time in a slot, in milliseconds, over all upstreams.
    std::map<core::route_name, double> usual_run_;
};

} // namespace yuccafall::balancing

#endif
