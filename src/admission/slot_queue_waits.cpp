// Implements the estimates of waits that the slot queue reports and by which it
// refuses calls.
#include "admission/slot_queue.hpp"

#include <algorithm>
#include <limits>
#include <set>

namespace yuccafall::admission {

namespace {

// Upper limit on the share of the slots that nested calls are taken to use, so
// that the expected wait of other calls stays finite.
constexpr double max_nested_slot_share = 0.75;

core::milliseconds to_milliseconds(core::duration it)
{
    return std::chrono::duration_cast<core::milliseconds>(it);
}

} // namespace

core::duration
slot_queue::expected_service_time(core::route_name const& route) const
{
    return service_times_.expected(route);
}

core::milliseconds slot_queue::wait_for_nested(core::instant now) const
{
    precedence const last_nested{
        false, core::rank(std::numeric_limits<std::uint32_t>::max()), true,
        core::instant::max()};
    return to_milliseconds(expected_wait(last_nested, now));
}

core::milliseconds slot_queue::wait_at_back(core::instant now) const
{
    return to_milliseconds(expected_wait({}, now));
}

core::milliseconds slot_queue::wait_for(core::rank rank,
                                        core::instant now) const
{
    precedence const last_in_time{true, rank, false, core::instant::max()};
    return to_milliseconds(expected_wait(last_in_time, now));
}

std::vector<balancing::rank_wait>
slot_queue::waits_by_rank(core::instant now) const
{
    std::set<core::rank> ranks;
    for (auto const& [call, it] : waiting_)
    {
        if (!it.job.nested)
        {
            ranks.insert(it.job.rank);
        }
    }
    std::vector<balancing::rank_wait> out;
    for (auto const rank : ranks)
    {
        if (out.size() == balancing::max_rank_waits)
        {
            break;
        }
        out.push_back({rank, wait_for(rank, now)});
    }
    return out;
}

core::duration
slot_queue::expected_wait(std::optional<precedence> const& position,
                          core::instant now) const
{
    std::size_t const slots = std::max(settings_.slots.value(), 1U);
    auto pending_time = running_.remaining_time(now);
    std::size_t calls_ahead = 0;
    for (auto const& [call, it] : waiting_)
    {
        if (!position || !(*position < precedence_of(it, now)))
        {
            pending_time += it.expected_service_time;
            ++calls_ahead;
        }
    }
    auto const external_slots = slots - std::min(slots, available_slots(now));
    pending_time +=
        service_times_.mean() * static_cast<long>(external_slots) / 2;
    auto const rate_wait = std::max(rate_limiter_.wait(calls_ahead, now),
                                    cold_rate_wait(calls_ahead, now));
    if (running() + external_slots + calls_ahead < slots)
    {
        return rate_wait;
    }
    auto wait = pending_time / static_cast<long>(slots);
    if (!position || position->yields_to_nested)
    {
        // Nested calls that arrive meanwhile go ahead.
        auto const share =
            std::min(running_.nested_slot_share(), max_nested_slot_share);
        wait = core::duration(static_cast<core::duration::rep>(
            static_cast<double>(wait.count()) / (1 - share)));
    }
    return std::max<core::duration>(wait, rate_wait);
}

std::size_t
slot_queue::calls_ahead_of(std::optional<precedence> const& position,
                           core::instant now) const
{
    return static_cast<std::size_t>(
        std::count_if(waiting_.begin(), waiting_.end(), [&](auto const& it) {
            return !position || !(*position < precedence_of(it.second, now));
        }));
}

core::duration slot_queue::cold_rate_wait(std::size_t calls_ahead,
                                          core::instant now) const
{
    auto const wait = cold_limiter_.wait(calls_ahead, now);
    return cold_rate_ends_at_
               ? std::min(wait, std::max(*cold_rate_ends_at_ - now,
                                         core::duration::zero()))
               : wait;
}

core::duration slot_queue::response_time(core::route_name const& route) const
{
    return body_pacer_.transfer_time(response_sizes_.expected(route));
}

core::duration slot_queue::expected_response_time() const
{
    core::duration out{};
    for (auto const& [call, it] : running_.all())
    {
        out += response_time(it.route);
    }
    for (auto const& [call, it] : waiting_)
    {
        out += response_time(it.job.route);
    }
    return out;
}

core::milliseconds slot_queue::wait_for_bodies() const
{
    auto bytes = body_pacer_.bytes_in_flight().value();
    for (auto const& [call, it] : waiting_)
    {
        bytes += it.ready || it.body_requested ? 0 : it.job.body_size.value();
    }
    return to_milliseconds(body_pacer_.transfer_time(core::byte_count(bytes)));
}

core::duration slot_queue::wait_for_body(waiting_call const& new_call,
                                         core::instant now) const
{
    if (new_call.ready)
    {
        return {};
    }
    auto const position = precedence_of(new_call, now);
    auto bytes = body_pacer_.bytes_in_flight().value();
    for (auto const& [call, it] : waiting_)
    {
        bool const is_ahead = !it.ready && !it.body_requested &&
                              !(position < precedence_of(it, now));
        bytes += is_ahead ? it.job.body_size.value() : 0;
    }
    return body_pacer_.transfer_time(core::byte_count(bytes));
}

} // namespace yuccafall::admission
