// Applies the rules of the queues to the estimates of the candidates.
#include "admission/first_node_admission.hpp"

#include <algorithm>
#include <optional>

#include "admission/refusal_rules.hpp"

namespace yuccafall::admission {

namespace {

// An older report says too little about the queue. Reports of a full worker
// come with its responses and refusals, and more of them while its load
// changes.
constexpr core::milliseconds max_report_age{250};

// Percentage of the calls to be refused that are admitted nevertheless.
constexpr std::uint64_t probe_percentage = 10;

// The retry delay is lengthened by up to this part of it, so that the callers
// of all nodes do not return at the same time.
constexpr double max_retry_jitter = 0.5;

// Returns why the queue of the worker would refuse the call, or nothing if it
// would not or if that is not known.
std::optional<first_node_reason>
reason_to_refuse(first_node_call const& call,
                 balancing::candidate_estimate const& it, core::instant now)
{
    if (!it.report_age || *it.report_age >= max_report_age ||
        it.wait <= core::duration::zero())
    {
        return std::nullopt;
    }
    auto const ends_at = now + it.ends_after;
    if (would_miss_deadline(ends_at, it.run_time, call.deadline))
    {
        return first_node_reason::past_deadline;
    }
    if (is_probably_late(ends_at, it.run_time, call.target_time) &&
        it.waiting.value() >= max_late_calls(it.slots, default_max_late_share))
    {
        return first_node_reason::late;
    }
    return std::nullopt;
}

// The longest delay, with the random part, is max_retry_after.
core::milliseconds retry_delay(core::milliseconds wait,
                               core::random_source& random)
{
    auto const longest =
        static_cast<double>(max_retry_after.count()) / (1 + max_retry_jitter);
    auto const ms =
        std::clamp(static_cast<double>(wait.count()),
                   static_cast<double>(min_retry_after.count()), longest);
    return core::milliseconds(
        static_cast<long>(ms * (1 + max_retry_jitter * random.unit())));
}

core::milliseconds to_milliseconds(core::duration it)
{
    return std::chrono::duration_cast<core::milliseconds>(it);
}

} // namespace

std::string_view name_of(first_node_reason reason)
{
    return reason == first_node_reason::past_deadline ? "past_deadline"
                                                      : "late";
}

first_node_decision decide_first_node_admission(
    first_node_call const& call,
    std::vector<balancing::candidate_estimate> const& candidates,
    core::instant now, core::random_source& random)
{
    if (call.nested || candidates.empty())
    {
        return first_node_admitted{};
    }
    for (auto const& it : candidates)
    {
        if (!reason_to_refuse(call, it, now))
        {
            return first_node_admitted{};
        }
    }
    if (random.below(100) < probe_percentage)
    {
        return first_node_admitted{true};
    }
    auto const& nearest = *std::min_element(
        candidates.begin(), candidates.end(),
        [](auto const& a, auto const& b) { return a.wait < b.wait; });
    auto const wait = to_milliseconds(nearest.wait);
    return first_node_refused{retry_delay(wait, random),
                              *reason_to_refuse(call, nearest, now), wait,
                              to_milliseconds(*nearest.report_age)};
}

} // namespace yuccafall::admission
