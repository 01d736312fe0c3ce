// Chooses the upstream of a call among the workers of a service.
//
// What a node knows of a worker is the last report of the node beside it and
// what it has sent there since. The choice is the worker with the earliest
// expected answer; a random factor keeps nodes that share stale reports from
// all choosing the same one.
#ifndef YUCCAFALL_BALANCING_UPSTREAM_SCORES_HPP
#define YUCCAFALL_BALANCING_UPSTREAM_SCORES_HPP

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

// Sent by the node beside a worker with each answer.
struct load_report
{
    core::slot_count running;
    core::queue_length waiting;
    core::slot_count slots;
    // Mean time of a call in a slot.
    core::milliseconds mean_run{0};
    // Current speed of the worker; 100 is as usual.
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
    core::milliseconds crossing{25};
    // The same for each kilobyte of the request's body.
    core::milliseconds crossing_per_kb{1};
    // A report says nothing any more after some times this long.
    core::milliseconds report_fades{400};
    // First and longest time without calls after failures in a row.
    core::milliseconds first_ejection{500};
    core::milliseconds longest_ejection{4'000};
    std::uint32_t failures_to_eject = 2;
    // Workers looked at for one call; bounds the cost in large services.
    std::size_t candidates = 8;
};

// Results of a choice.
struct chosen
{
    // Invariant: points into the list that was given.
    upstream const* to;
};
struct none_known
{};
// All that are left are known to be full.
struct all_full
{
    core::milliseconds retry_after;
};
using choice = std::variant<chosen, none_known, all_full>;

struct demand
{
    core::byte_count body;
    // Time in which an answer is of use.
    core::milliseconds remaining{0};
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

    void sent(core::upstream_id const& to);
    void ended(core::upstream_id const& to, outcome how, core::instant now);
    void reported(core::upstream_id const& of, load_report const& it,
                  core::instant now);

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
        // Of those, sent after the last report.
        std::uint32_t sent_since = 0;
        std::uint32_t failures = 0;
        core::milliseconds ejection{0};
        core::instant ejected_until{};
    };

    core::duration expected_answer(upstream const& it, demand const& what,
                                   core::instant now) const;
    std::vector<upstream const*>
    usable(std::vector<upstream> const& among,
           std::set<core::upstream_id> const& tried, core::instant now) const;

    choice_settings settings_;
    std::map<core::upstream_id, record> records_;
};

} // namespace yuccafall::balancing

#endif
