// Implements the order of waiting calls and the rules for refusing calls.
#include "admission/slot_queue.hpp"

#include <algorithm>
#include <utility>

namespace yuccafall::admission {

namespace {

// A call that is late in any case takes the link only while no other long
// responses are waiting for it, apart from about one.
constexpr core::milliseconds max_link_wait_if_late{100};

core::milliseconds to_milliseconds(core::duration it)
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

std::size_t slot_queue::available_slots(core::instant now) const
{
    std::size_t const slots = settings_.slots.value();
    auto const external =
        now - external_calls_reported_at_ < settings_.external_load_ttl
            ? external_calls_
            : 0;
    return slots - std::min(slots, external);
}

slot_queue::precedence slot_queue::precedence_of(waiting_call const& it,
                                                 core::instant now)
{
    return {!it.job.nested, it.job.rank,
            now + it.expected_service_time > it.job.target_time,
            it.job.target_time};
}

std::size_t slot_queue::max_late_calls() const
{
    return admission::max_late_calls(settings_.slots, settings_.max_late_share);
}

core::milliseconds slot_queue::retry_delay(core::instant now) const
{
    return std::clamp(to_milliseconds(expected_wait({}, now)), min_retry_after,
                      max_retry_after);
}

void slot_queue::refuse_excess_late_calls(core::instant now, actions& out)
{
    // Sorts the calls to be refused first to the front. While the cold rate is
    // in force, the least urgent ones are.
    struct late_call
    {
        core::rank urgency;
        core::instant target_time;
        core::call_id call;
        bool operator<(late_call const& other) const
        {
            return std::tie(other.urgency, target_time, call) <
                   std::tie(urgency, other.target_time, other.call);
        }
    };
    bool const is_cold = core::limit_of(cold_rate()).has_value();
    std::vector<late_call> late;
    for (auto const& [call, it] : waiting_)
    {
        if (!it.job.nested && precedence_of(it, now).late)
        {
            late.push_back({is_cold ? it.job.rank : core::rank(),
                            it.job.target_time, call});
        }
    }
    if (late.size() <= max_late_calls())
    {
        return;
    }
    std::sort(late.begin(), late.end());
    // The calls with the earliest target time are overdue the longest and
    // benefit least from a slot.
    for (std::size_t i = 0; i + max_late_calls() < late.size(); ++i)
    {
        auto const& call = late[i].call;
        out.emplace_back(refuse_call{call, core::error_kind::overloaded,
                                     retry_delay(now),
                                     waiting_.at(call).waited_for_cold_rate});
        remove_waiting_call(call);
    }
    request_bodies(now, out);
}

void slot_queue::on(call_offered const& it, core::instant now, actions& out)
{
    auto const& job = it.job;
    if (drain_kind_)
    {
        out.emplace_back(refuse_call{job.call, *drain_kind_, {}});
        return;
    }
    waiting_call new_call{job, expected_service_time(job.route),
                          !job.awaits_body};
    auto const position = precedence_of(new_call, now);
    auto const wait =
        std::max(expected_wait(position, now), wait_for_body(new_call, now));
    bool const waits_for_cold_rate =
        wait > core::duration::zero() &&
        wait == cold_rate_wait(calls_ahead_of(position, now), now);
    if (wait > core::duration::zero() && job.has_alternative)
    {
        out.emplace_back(refuse_call{job.call, core::error_kind::overloaded,
                                     retry_delay(now), waits_for_cold_rate});
        return;
    }
    auto const run_ends_at = now + wait +
                             body_pacer_.transfer_time(job.body_size) +
                             new_call.expected_service_time;
    auto const own_response_time = response_time(job.route);
    auto const link_wait = own_response_time > core::duration::zero()
                               ? job.link_backlog + expected_response_time()
                               : core::duration::zero();
    auto const ends_at =
        std::max(run_ends_at, now + link_wait) + own_response_time;
    bool const must_wait =
        wait > core::duration::zero() || now + link_wait > run_ends_at;
    if (must_wait && would_miss_deadline(
                         ends_at, new_call.expected_service_time, job.deadline))
    {
        out.emplace_back(refuse_call{job.call, core::error_kind::overloaded,
                                     retry_delay(now), waits_for_cold_rate});
        return;
    }
    bool const late_without_link =
        run_ends_at + own_response_time > job.target_time;
    if (ends_at > job.target_time &&
        (!late_without_link || link_wait > max_link_wait_if_late))
    {
        out.emplace_back(
            refuse_call{job.call, core::error_kind::overloaded,
                        std::clamp(to_milliseconds(link_wait), min_retry_after,
                                   max_retry_after)});
        return;
    }
    bool const late = wait > core::duration::zero() &&
                      is_probably_late(ends_at, new_call.expected_service_time,
                                       job.target_time);
    if (late && !job.nested && waiting_.size() >= max_late_calls())
    {
        out.emplace_back(refuse_call{job.call, core::error_kind::overloaded,
                                     retry_delay(now), waits_for_cold_rate});
        return;
    }
    waiting_.emplace(job.call, std::move(new_call));
    request_bodies(now, out);
    start_ready_calls(now, out);
    refuse_excess_late_calls(now, out);
}

void slot_queue::request_bodies(core::instant now, actions& out)
{
    while (body_pacer_.can_request_body())
    {
        auto next = waiting_.end();
        for (auto it = waiting_.begin(); it != waiting_.end(); ++it)
        {
            bool const needs_body =
                !it->second.ready && !it->second.body_requested;
            if (needs_body && (next == waiting_.end() ||
                               precedence_of(it->second, now) <
                                   precedence_of(next->second, now)))
            {
                next = it;
            }
        }
        if (next == waiting_.end())
        {
            return;
        }
        next->second.body_requested = true;
        body_pacer_.add(next->first, next->second.job.body_size);
        out.emplace_back(request_body{next->first});
    }
}

void slot_queue::remove_waiting_call(core::call_id const& call)
{
    waiting_.erase(call);
    body_pacer_.remove(call);
}

void slot_queue::on(body_arrived const& it, core::instant now, actions& out)
{
    body_pacer_.remove(it.call);
    auto const found = waiting_.find(it.call);
    if (found != waiting_.end())
    {
        found->second.ready = true;
        start_ready_calls(now, out);
    }
    request_bodies(now, out);
}

void slot_queue::on(call_canceled const& it, core::instant now, actions& out)
{
    remove_waiting_call(it.call);
    request_bodies(now, out);
}

void slot_queue::on(run_ended const& it, core::instant now, actions& out)
{
    auto const ended = running_.remove(it.call, now);
    if (!ended)
    {
        return;
    }
    if (it.result == run_result::completed)
    {
        service_times_.observe(ended->route, now - ended->started_at);
        response_sizes_.observe(ended->route, it.response_size);
    }
    start_ready_calls(now, out);
}

void slot_queue::on(load_reported const& it, core::instant now, actions& out)
{
    relative_service_time_ = it.load.relative_service_time;
    // The worker writes the report before the call that carries it has left its
    // slot, so the report may or may not count that call. One call is added
    // below for it.
    auto const reported_calls =
        static_cast<std::size_t>(it.load.running.value()) +
        it.load.waiting.value();
    for (auto const& call : running_.find_lost(it, now))
    {
        out.emplace_back(call_lost{call});
    }
    auto const own_calls = running() + 1;
    external_calls_ =
        reported_calls > own_calls ? reported_calls - own_calls : 0;
    external_calls_reported_at_ = now;
}

void slot_queue::on(rate_stated const& it, core::instant now, actions& out)
{
    rate_limiter_.state(it.rate, now);
    start_ready_calls(now, out);
}

// The limiter allows no burst when the cold rate comes into force, and it does
// not count the calls that were started just before. While the worker counted
// as warm, these went to a warm worker: if it has crashed since, they ended
// with its process, and the next process counts from zero. Only calls to a
// worker that became cold without a visible event go beyond the cold rate.
void slot_queue::on(cold_rate_changed const& it, core::instant now,
                    actions& out)
{
    cold_rate_ends_at_ = it.ends_at;
    cold_limiter_.state(it.rate, now);
    start_ready_calls(now, out);
}

void slot_queue::on(call_rejected const& it, core::instant now, actions&)
{
    // A worker that rejects calls although it reports free slots rejects them
    // for another reason, and a pause would only leave its slots unused.
    if (it.load && it.load->running.value() + it.load->waiting.value() <
                       it.load->slots.value())
    {
        return;
    }
    start_paused_until_ = now + settings_.rejection_pause;
}

void slot_queue::on(slots_changed const& it, core::instant now, actions& out)
{
    settings_.slots = it.slots;
    start_ready_calls(now, out);
}

void slot_queue::on(timer_expired const&, core::instant now, actions& out)
{
    if (now >= start_paused_until_)
    {
        start_paused_until_ = {};
    }
    if (now - external_calls_reported_at_ >= settings_.external_load_ttl)
    {
        external_calls_ = 0;
    }
    refuse_expired(now, out);
    request_bodies(now, out);
    start_ready_calls(now, out);
    refuse_excess_late_calls(now, out);
}

void slot_queue::on(drain_started const& it, core::instant, actions& out)
{
    drain_kind_ = it.kind;
    for (auto const& [call, waiting] : waiting_)
    {
        out.emplace_back(refuse_call{call, it.kind, {}});
        body_pacer_.remove(call);
    }
    waiting_.clear();
}

void slot_queue::on(drain_ended const&, core::instant, actions&)
{
    drain_kind_.reset();
}

core::duration slot_queue::min_time_to_start(waiting_call const& it) const
{
    return waiting_.size() > 1 ? it.expected_service_time
                               : it.expected_service_time / 2;
}

// Refuses calls whose deadline leaves too little time to run them. Such a call
// would hold a slot although its response comes too late to be used.
void slot_queue::refuse_expired(core::instant now, actions& out)
{
    for (auto it = waiting_.begin(); it != waiting_.end();)
    {
        if (now + min_time_to_start(it->second) >= it->second.job.deadline)
        {
            out.emplace_back(refuse_call{it->first, core::error_kind::expired,
                                         retry_delay(now),
                                         it->second.waited_for_cold_rate});
            body_pacer_.remove(it->first);
            it = waiting_.erase(it);
            continue;
        }
        ++it;
    }
}

void slot_queue::start_ready_calls(core::instant now, actions& out)
{
    if (now < start_paused_until_)
    {
        return;
    }
    refuse_expired(now, out);
    rate_allows_call_at_ = {};
    while (running() < available_slots(now))
    {
        auto const cold_wait = cold_limiter_.wait(0, now);
        auto const wait = std::max(rate_limiter_.wait(0, now), cold_wait);
        if (wait > core::duration::zero())
        {
            rate_allows_call_at_ = now + wait;
            if (cold_wait == wait)
            {
                mark_waiting_for_cold_rate();
            }
            return;
        }
        auto next = waiting_.end();
        for (auto it = waiting_.begin(); it != waiting_.end(); ++it)
        {
            if (it->second.ready && (next == waiting_.end() ||
                                     precedence_of(it->second, now) <
                                         precedence_of(next->second, now)))
            {
                next = it;
            }
        }
        if (next == waiting_.end())
        {
            return;
        }
        running_.add(next->first,
                     running_call{next->second.job.route, now,
                                  next->second.expected_service_time,
                                  next->second.job.nested, false});
        rate_limiter_.record_start(now);
        cold_limiter_.record_start(now);
        out.emplace_back(
            start_call{next->first, next->second.waited_for_cold_rate});
        waiting_.erase(next);
    }
}

void slot_queue::mark_waiting_for_cold_rate()
{
    for (auto& [call, it] : waiting_)
    {
        it.waited_for_cold_rate = it.waited_for_cold_rate || it.ready;
    }
}

std::optional<core::instant> slot_queue::next_timer() const
{
    std::optional<core::instant> first;
    auto const consider = [&](core::instant it) {
        first = first ? std::min(*first, it) : it;
    };
    for (auto const& [call, it] : waiting_)
    {
        consider(it.job.deadline - min_time_to_start(it));
    }
    if (!waiting_.empty())
    {
        // Slots may be left unused because of external calls or after a
        // rejection. The queue checks again when the period for that ends.
        if (external_calls_ > 0)
        {
            consider(external_calls_reported_at_ + settings_.external_load_ttl);
        }
        if (start_paused_until_ != core::instant{})
        {
            consider(start_paused_until_);
        }
        if (rate_allows_call_at_ != core::instant{})
        {
            consider(rate_allows_call_at_);
        }
    }
    return first;
}

} // namespace yuccafall::admission
