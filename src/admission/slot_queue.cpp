// Implements the order of waiting calls and the rules for refusing calls.
#include "admission/slot_queue.hpp"

#include <algorithm>
#include <utility>

namespace yuccafall::admission {

namespace {

// With a shorter value, a caller would retry before one call has ended.
constexpr core::milliseconds shortest_retry_after{30};
// A peak in demand is over by this time. A caller that waits at most a third of
// its remaining time would not wait longer anyway.
constexpr core::milliseconds longest_retry_after{2'000};

core::milliseconds whole_milliseconds(core::duration it)
{
    return std::chrono::duration_cast<core::milliseconds>(it);
}

} // namespace

std::vector<action> slot_queue::handle(event const& it, core::instant now)
{
    actions out;
    std::visit([&](auto const& e) { on(e, now, out); }, it);
    return out;
}

core::duration slot_queue::expected(core::route_name const& route) const
{
    return times_.expected(route);
}

core::milliseconds slot_queue::wait_first(core::instant now) const
{
    precedence const first{false, core::rank(0), false, core::instant::min()};
    return whole_milliseconds(wait_behind(first, now));
}

core::milliseconds slot_queue::wait_last(core::instant now) const
{
    return whole_milliseconds(wait_behind({}, now));
}

std::size_t slot_queue::usable_slots(core::instant now) const
{
    std::size_t const slots = settings_.slots.value();
    auto const foreign =
        now - foreign_at_ < settings_.foreign_believed ? foreign_ : 0;
    return slots - std::min(slots, foreign);
}

slot_queue::precedence slot_queue::precedence_of(queued const& it,
                                                 core::instant now)
{
    return {!it.job.nested, it.job.rank, now + it.expected > it.job.aim,
            it.job.aim};
}

core::duration slot_queue::wait_behind(std::optional<precedence> const& place,
                                       core::instant now) const
{
    std::size_t const slots = std::max(settings_.slots.value(), 1U);
    core::duration work{};
    for (auto const& [call, it] : running_)
    {
        work += std::max(it.expected - (now - it.since), it.expected / 8);
    }
    std::size_t ahead = 0;
    for (auto const& [call, it] : waiting_)
    {
        if (!place || !(*place < precedence_of(it, now)))
        {
            work += it.expected;
            ++ahead;
        }
    }
    auto const foreign = slots - std::min(slots, usable_slots(now));
    work += times_.mean() * static_cast<long>(foreign) / 2;
    if (running_.size() + foreign + ahead < slots)
    {
        return {};
    }
    return work / static_cast<long>(slots);
}

std::size_t slot_queue::late_limit() const
{
    return settings_.slots.value() * settings_.late_waiting.value() / 100;
}

core::milliseconds slot_queue::room_in(core::instant now) const
{
    return std::clamp(whole_milliseconds(wait_behind({}, now)),
                      shortest_retry_after, longest_retry_after);
}

void slot_queue::trim_late(core::instant now, actions& out)
{
    std::vector<std::pair<core::instant, core::call_id>> late;
    for (auto const& [call, it] : waiting_)
    {
        if (!it.job.nested && precedence_of(it, now).late)
        {
            late.emplace_back(it.job.aim, call);
        }
    }
    if (late.size() <= late_limit())
    {
        return;
    }
    std::sort(late.begin(), late.end());
    // The calls that are overdue the longest benefit least from a slot.
    for (std::size_t i = 0; i + late_limit() < late.size(); ++i)
    {
        out.emplace_back(
            refuse{late[i].second, core::error_kind::overloaded, room_in(now)});
        forget(late[i].second);
    }
    ask_for_bodies(now, out);
}

void slot_queue::on(offered const& it, core::instant now, actions& out)
{
    auto const& job = it.job;
    if (leaving_)
    {
        out.emplace_back(refuse{job.call, core::error_kind::leaving, {}});
        return;
    }
    queued newcomer{job, expected(job.route), !job.awaits_body};
    auto const wait = std::max(wait_behind(precedence_of(newcomer, now), now),
                               wait_for_body(newcomer, now));
    if (wait > core::duration::zero() && job.has_alternative)
    {
        out.emplace_back(
            refuse{job.call, core::error_kind::overloaded, room_in(now)});
        return;
    }
    auto const ends =
        now + wait + intake_.time_for(job.body) + newcomer.expected;
    if (wait > core::duration::zero() && ends > job.deadline)
    {
        out.emplace_back(
            refuse{job.call, core::error_kind::overloaded, room_in(now)});
        return;
    }
    bool const late = wait > core::duration::zero() && ends > job.aim;
    if (late && !job.nested && waiting_.size() >= late_limit())
    {
        out.emplace_back(
            refuse{job.call, core::error_kind::overloaded, room_in(now)});
        return;
    }
    waiting_.emplace(job.call, std::move(newcomer));
    ask_for_bodies(now, out);
    start_waiting(now, out);
    trim_late(now, out);
}

core::milliseconds slot_queue::wait_for_bodies() const
{
    auto bytes = intake_.on_the_way().value();
    for (auto const& [call, it] : waiting_)
    {
        bytes += it.ready || it.body_asked ? 0 : it.job.body.value();
    }
    return whole_milliseconds(intake_.time_for(core::byte_count(bytes)));
}

core::duration slot_queue::wait_for_body(queued const& newcomer,
                                         core::instant now) const
{
    if (newcomer.ready)
    {
        return {};
    }
    auto const place = precedence_of(newcomer, now);
    auto bytes = intake_.on_the_way().value();
    for (auto const& [call, it] : waiting_)
    {
        bool const is_ahead =
            !it.ready && !it.body_asked && !(place < precedence_of(it, now));
        bytes += is_ahead ? it.job.body.value() : 0;
    }
    return intake_.time_for(core::byte_count(bytes));
}

void slot_queue::ask_for_bodies(core::instant now, actions& out)
{
    while (intake_.has_room())
    {
        auto best = waiting_.end();
        for (auto it = waiting_.begin(); it != waiting_.end(); ++it)
        {
            bool const is_open = !it->second.ready && !it->second.body_asked;
            if (is_open && (best == waiting_.end() ||
                            precedence_of(it->second, now) <
                                precedence_of(best->second, now)))
            {
                best = it;
            }
        }
        if (best == waiting_.end())
        {
            return;
        }
        best->second.body_asked = true;
        intake_.asked(best->first, best->second.job.body);
        out.emplace_back(ask_for_body{best->first});
    }
}

void slot_queue::forget(core::call_id const& call)
{
    waiting_.erase(call);
    intake_.done(call);
}

void slot_queue::on(body_arrived const& it, core::instant now, actions& out)
{
    intake_.done(it.call);
    auto const found = waiting_.find(it.call);
    if (found != waiting_.end())
    {
        found->second.ready = true;
        start_waiting(now, out);
    }
    ask_for_bodies(now, out);
}

void slot_queue::on(cancelled const& it, core::instant now, actions& out)
{
    forget(it.call);
    ask_for_bodies(now, out);
}

void slot_queue::on(run_ended const& it, core::instant now, actions& out)
{
    auto const found = running_.find(it.call);
    if (found == running_.end())
    {
        return;
    }
    if (it.how == run_end::completed)
    {
        times_.observe(found->second.route, now - found->second.since);
    }
    running_.erase(found);
    start_waiting(now, out);
}

void slot_queue::on(load_reported const& it, core::instant now, actions&)
{
    pace_ = it.load.pace;
    // The worker writes the report before the call that carries it has left its
    // slot, so the report may or may not include that call.
    auto const at_worker = static_cast<std::size_t>(it.load.running.value()) +
                           it.load.waiting.value();
    auto const ours = running_.size() + 1;
    foreign_ = at_worker > ours ? at_worker - ours : 0;
    foreign_at_ = now;
}

void slot_queue::on(worker_rejected const&, core::instant now, actions&)
{
    paused_until_ = now + settings_.rejection_pause;
}

void slot_queue::on(slots_changed const& it, core::instant now, actions& out)
{
    settings_.slots = it.slots;
    start_waiting(now, out);
}

void slot_queue::on(time_passed const&, core::instant now, actions& out)
{
    if (now >= paused_until_)
    {
        paused_until_ = {};
    }
    if (now - foreign_at_ >= settings_.foreign_believed)
    {
        foreign_ = 0;
    }
    drop_hopeless(now, out);
    ask_for_bodies(now, out);
    start_waiting(now, out);
    trim_late(now, out);
}

void slot_queue::on(leave_started const&, core::instant, actions& out)
{
    leaving_ = true;
    for (auto const& [call, it] : waiting_)
    {
        out.emplace_back(refuse{call, core::error_kind::leaving, {}});
        intake_.done(call);
    }
    waiting_.clear();
}

void slot_queue::on(leave_ended const&, core::instant, actions&)
{
    leaving_ = false;
}

// Refuses calls whose deadline leaves too little time to run them. Such a call
// would hold a slot although its answer comes too late to be used.
void slot_queue::drop_hopeless(core::instant now, actions& out)
{
    for (auto it = waiting_.begin(); it != waiting_.end();)
    {
        if (now + it->second.expected / 2 >= it->second.job.deadline)
        {
            out.emplace_back(
                refuse{it->first, core::error_kind::expired, room_in(now)});
            intake_.done(it->first);
            it = waiting_.erase(it);
            continue;
        }
        ++it;
    }
}

void slot_queue::start_waiting(core::instant now, actions& out)
{
    if (now < paused_until_)
    {
        return;
    }
    drop_hopeless(now, out);
    while (running_.size() < usable_slots(now))
    {
        auto best = waiting_.end();
        for (auto it = waiting_.begin(); it != waiting_.end(); ++it)
        {
            if (it->second.ready && (best == waiting_.end() ||
                                     precedence_of(it->second, now) <
                                         precedence_of(best->second, now)))
            {
                best = it;
            }
        }
        if (best == waiting_.end())
        {
            return;
        }
        running_.emplace(best->first, active{best->second.job.route, now,
                                             best->second.expected});
        out.emplace_back(start{best->first});
        waiting_.erase(best);
    }
}

std::optional<core::instant> slot_queue::next_wake() const
{
    std::optional<core::instant> first;
    auto const consider = [&](core::instant it) {
        first = first ? std::min(*first, it) : it;
    };
    for (auto const& [call, it] : waiting_)
    {
        consider(it.job.deadline - it.expected / 2);
    }
    if (!waiting_.empty())
    {
        // Slots may be withheld because of external calls or after a rejection.
        // The queue checks them again when that period ends.
        if (foreign_ > 0)
        {
            consider(foreign_at_ + settings_.foreign_believed);
        }
        if (paused_until_ != core::instant{})
        {
            consider(paused_until_);
        }
    }
    return first;
}

} // namespace yuccafall::admission
