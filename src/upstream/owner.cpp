// Connects the slot queue with sessions and the worker.
#include "upstream/owner.hpp"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

#include "core/log.hpp"
#include "core/overloaded.hpp"

namespace yuccafall::upstream {

using core::error_kind;

namespace {

// Beyond its own time limit a worker has this long to say so, before its
// connection is closed.
constexpr core::milliseconds worker_grace{300};

// No calls are tried at a worker that refused a connection for this long.
constexpr core::milliseconds unreachable_pause{250};

// Nodes hear of a worker's load at most this often, and for this long after
// their last call.
constexpr core::milliseconds tell_gap{50};
constexpr core::milliseconds listens_for{3'000};
// A worker with more free slots than this is not nearly full.
constexpr std::uint32_t spare_slots = 2;

// Weight of a new observation in the share of rejected calls.
constexpr double newest = 0.08;

core::milliseconds whole_milliseconds(core::duration it)
{
    return std::chrono::duration_cast<core::milliseconds>(it);
}

admission::queue_settings queue_settings_of(owner_settings const& it)
{
    admission::queue_settings out;
    out.intake.link = it.link;
    return out;
}

} // namespace

owner::owner(boost::asio::io_context& context, owner_settings const& settings,
             dialect::header_codec dialect, notice_handler suspects,
             std::shared_ptr<counters> counts)
    : timer_(context), dialect_(dialect),
      leg_(std::make_shared<worker_leg>(context, settings.worker, dialect)),
      queue_(queue_settings_of(settings)), tell_timer_(context),
      crashes_(settings.incarnation), suspects_(std::move(suspects)),
      counts_(std::move(counts))
{}

void owner::handle(session_id from, peers::message message,
                   reply_function reply)
{
    std::visit(core::overloaded{
                   [&](peers::offer& it) { on(from, it, std::move(reply)); },
                   [&](peers::body& it) { on(from, it); },
                   [&](peers::cancel& it) { on(from, it); },
                   [&](peers::ping&) { reply(peers::pong{}); },
                   // Answers are for callers' nodes; here they mean nothing.
                   [](auto&) {}},
               message);
}

void owner::on(session_id from, peers::offer& it, reply_function reply)
{
    core::add(counts_->offers);
    auto const now = core::boot_clock::now();
    listeners_[from] = {reply, it.upstream, now};
    key const id{core::incarnation(0), ++next_key_};
    entry call;
    call.session = from;
    call.offer = std::move(it);
    call.reply = std::move(reply);
    call.deadline = now + call.offer.remaining;
    auto const listed = workers_.find(call.offer.upstream);
    if (listed != workers_.end() && listed->second.draining)
    {
        refuse(call, error_kind::leaving, {}, false);
        return;
    }
    if (ended_.count(call.offer.upstream) != 0)
    {
        refuse(call, error_kind::wrong_upstream, {}, false);
        return;
    }
    if (now < unreachable_until_)
    {
        refuse(call, error_kind::no_upstream, unreachable_pause, false);
        return;
    }
    admission::job job;
    job.call = id;
    job.route = call.offer.route;
    job.rank = call.offer.rank;
    job.nested = call.offer.nested;
    job.has_alternative = call.offer.has_alternative;
    job.deadline = call.deadline;
    job.aim = now + call.offer.aim_remaining;
    job.awaits_body = call.offer.body_follows;
    if (call.offer.body_follows && from != own_session)
    {
        job.body = call.offer.body_size;
    }
    keys_.emplace(std::pair(from, call.offer.call), id);
    calls_.emplace(id, std::move(call));
    feed(admission::offered{job});
}

void owner::on(session_id from, peers::body& it)
{
    auto const found = keys_.find({from, it.call});
    if (found == keys_.end())
    {
        return;
    }
    auto const id = found->second;
    calls_.at(id).offer.message.body = std::move(it.bytes);
    feed(admission::body_arrived{id});
}

void owner::on(session_id from, peers::cancel const& it)
{
    auto const found = keys_.find({from, it.call});
    if (found == keys_.end())
    {
        return;
    }
    auto const id = found->second;
    cancel(id, calls_.at(id));
}

// A run that may not be repeated is left to end: to break it off would leave
// unknown how much of it was done.
void owner::cancel(key const& id, entry& it)
{
    core::add(counts_->canceled);
    it.canceled = true;
    if (!it.run)
    {
        keys_.erase({it.session, it.offer.call});
        calls_.erase(id);
        feed(admission::cancelled{id});
        return;
    }
    if (routing::is_idempotent(it.offer.kind))
    {
        it.run->abort();
    }
}

void owner::session_lost(session_id gone)
{
    listeners_.erase(gone);
    std::vector<key> ids;
    for (auto const& [name, id] : keys_)
    {
        if (name.first == gone)
        {
            ids.push_back(id);
        }
    }
    for (auto const& id : ids)
    {
        cancel(id, calls_.at(id));
    }
}

void owner::set_workers(std::vector<listed_worker> const& workers)
{
    // A worker that has never been listed takes calls all the same: the list
    // may not be known yet.
    bool all_drain = !workers.empty() || !workers_.empty() || gone_;
    workers_.clear();
    ended_.clear();
    for (auto const& it : workers)
    {
        workers_.emplace(it.id, it);
        all_drain = all_drain && it.draining;
        gone_ = false;
        if (!it.draining && it.slots != queue_.slots())
        {
            feed(admission::slots_changed{it.slots});
        }
    }
    gone_ = all_drain && workers.empty();
    if (leaving_)
    {
        return;
    }
    // What waits for a worker that leaves finds a place elsewhere sooner.
    if (all_drain)
    {
        feed(admission::leave_started{});
        return;
    }
    feed(admission::leave_ended{});
}

void owner::start_leaving()
{
    if (!std::exchange(leaving_, true))
    {
        feed(admission::leave_started{});
    }
}

void owner::close()
{
    timer_.cancel();
    tell_timer_.cancel();
    leg_->close();
}

void owner::feed(admission::event const& it)
{
    auto const actions = queue_.handle(it, core::boot_clock::now());
    for (auto const& a : actions)
    {
        act(a);
    }
    watch_time();
    tell_load();
}

// While slots are free everywhere the exact load changes no choice, and nothing
// is told.
void owner::tell_load()
{
    auto const now = core::boot_clock::now();
    auto const it = load();
    auto const used = [](balancing::load_report const& l) {
        return l.running.value() + l.waiting.value();
    };
    auto const nearly_full = [&](balancing::load_report const& l) {
        return used(l) + spare_slots >= l.slots.value();
    };
    if (telling_ || used(it) == used(told_) ||
        (!nearly_full(it) && !nearly_full(told_)))
    {
        return;
    }
    if (now - told_at_ < tell_gap)
    {
        telling_ = true;
        tell_timer_.expires_after(tell_gap - (now - told_at_));
        tell_timer_.async_wait(
            [weak = weak_from_this()](boost::system::error_code const& ec) {
                if (auto const self = weak.lock(); self && !ec)
                {
                    self->telling_ = false;
                    self->tell_load();
                }
            });
        return;
    }
    told_ = it;
    told_at_ = now;
    for (auto to = listeners_.begin(); to != listeners_.end();)
    {
        if (now - to->second.last_offer > listens_for)
        {
            to = listeners_.erase(to);
            continue;
        }
        to->second.tell(peers::load_changed{to->second.upstream, it});
        ++to;
    }
}

void owner::act(admission::action const& it)
{
    std::visit([this](auto const& a) { act(a); }, it);
}

void owner::act(admission::ask_for_body const& it)
{
    auto const& call = calls_.at(it.call);
    call.reply(peers::body_wanted{call.offer.call});
}

void owner::act(admission::start const& it)
{
    run(it.call, calls_.at(it.call));
}

void owner::act(admission::refuse const& it)
{
    auto const found = calls_.find(it.call);
    auto const call = std::move(found->second);
    calls_.erase(found);
    keys_.erase({call.session, call.offer.call});
    refuse(call, it.kind, it.retry_after, false);
}

void owner::refuse(entry const& it, error_kind kind,
                   core::milliseconds retry_after, bool reached_worker)
{
    core::add(counts_->refused);
    // A call that only asked for a free slot goes on to another worker.
    auto const kind_of_event = it.offer.has_alternative
                                   ? core::request_event::ordinary
                                   : core::request_event::exceptional;
    if (core::admit_request_line(kind_of_event))
    {
        core::log_event(core::log_level::info, "call_refused",
                        {{"request", it.offer.request.value()},
                         {"upstream", it.offer.upstream.value()},
                         {"kind", core::answer_of(kind).name},
                         {"rank", it.offer.rank.value()},
                         {"remaining_ms", it.offer.remaining.count()},
                         {"running", queue_.running()},
                         {"waiting", queue_.waiting()},
                         {"slots", queue_.slots().value()},
                         {"retry_after_ms", retry_after.count()}});
    }
    it.reply(peers::refused{it.offer.call, kind, retry_after, reached_worker,
                            load()});
}

void owner::run(key const& id, entry& it)
{
    core::add(counts_->runs);
    auto const now = core::boot_clock::now();
    it.started = now;
    auto const remaining =
        std::max(whole_milliseconds(it.deadline - now), core::milliseconds(1));
    auto message = std::move(it.offer.message);
    it.print =
        poison::fingerprint_of(message.method, message.target, message.body);
    dialect_.write_worker_metadata(
        message.headers, {it.offer.upstream, remaining, it.offer.origin});
    it.run = leg_->start(message, it.offer.request, remaining + worker_grace,
                         [self = shared_from_this(), id](worker_outcome how) {
                             self->ended(id, std::move(how));
                         });
}

void owner::ended(key const& id, worker_outcome outcome)
{
    auto const found = calls_.find(id);
    auto call = std::move(found->second);
    calls_.erase(found);
    keys_.erase({call.session, call.offer.call});

    bool const completed = std::holds_alternative<worker_answered>(outcome);
    bool const rejected = std::holds_alternative<worker_refused>(outcome);
    auto const* load = std::visit(
        core::overloaded{
            [](worker_answered const& it) { return &it.marks.load; },
            [](worker_refused const& it) { return &it.marks.load; },
            [](worker_failed const& it) { return &it.load; },
            [](worker_unreachable const&) {
                return static_cast<
                    std::optional<admission::worker_load> const*>(nullptr);
            }},
        outcome);
    if (load != nullptr && *load)
    {
        feed(admission::load_reported{**load});
    }
    if (rejected)
    {
        feed(admission::worker_rejected{});
    }
    if (completed || rejected)
    {
        observe_rejection(rejected);
    }
    feed(admission::run_ended{id, completed ? admission::run_end::completed
                                            : admission::run_end::cut_short});
    std::visit([&](auto& it) { settle(call, it); }, outcome);
}

void owner::observe_rejection(bool rejected)
{
    rejecting_ += newest * ((rejected ? 1.0 : 0.0) - rejecting_);
}

void owner::settle(entry& it, worker_answered& how)
{
    auto const now = core::boot_clock::now();
    crashes_.run_completed(it.print, now);
    auto const ran_for = whole_milliseconds(now - it.started);
    it.reply(peers::answered{it.offer.call, std::move(how.message), ran_for,
                             load()});
}

void owner::settle(entry& it, worker_refused& how)
{
    core::add(counts_->rejected_by_worker);
    if (how.marks.wrong_worker)
    {
        ended_.insert(it.offer.upstream);
    }
    refuse(it,
           how.marks.wrong_worker ? error_kind::wrong_upstream
                                  : error_kind::upstream_rejected,
           {}, true);
}

void owner::settle(entry& it, worker_unreachable& how)
{
    if (it.canceled)
    {
        return;
    }
    unreachable_until_ = core::boot_clock::now() + unreachable_pause;
    core::log_event(
        core::log_level::warning, "worker_unreachable",
        {{"upstream", it.offer.upstream.value()}, {"reason", how.reason}});
    refuse(it, error_kind::no_upstream, unreachable_pause, false);
}

void owner::run_lost(poison::fingerprint const& request)
{
    if (!crashes_.run_lost(request, core::boot_clock::now()))
    {
        return;
    }
    leg_->probe([weak = weak_from_this()](bool reached) {
        auto const self = weak.lock();
        if (!self)
        {
            return;
        }
        if (reached)
        {
            self->crashes_.reached();
            return;
        }
        auto const now = core::boot_clock::now();
        self->unreachable_until_ = now + unreachable_pause;
        for (auto const& it : self->crashes_.unreachable(now))
        {
            core::log_event(
                core::log_level::warning, "worker_crashed",
                {{"suspect", it.request.value()}, {"crash", it.crash.number}});
            self->suspects_(it);
        }
    });
}

void owner::settle(entry& it, worker_failed& how)
{
    if (it.canceled)
    {
        return;
    }
    core::add(counts_->failed);
    if (how.cause == http::failure_cause::closed_unanswered)
    {
        run_lost(it.print);
    }
    auto const kind = how.cause == http::failure_cause::timed_out
                          ? error_kind::deadline_passed
                          : error_kind::upstream_failed;
    if (core::admit_request_line(core::request_event::exceptional))
    {
        core::log_event(core::log_level::info, "run_failed",
                        {{"request", it.offer.request.value()},
                         {"upstream", it.offer.upstream.value()},
                         {"kind", core::answer_of(kind).name},
                         {"reason", how.reason},
                         {"running", queue_.running()}});
    }
    it.reply(peers::failed{it.offer.call, kind, std::move(how.reason), load()});
}

balancing::load_report owner::load() const
{
    balancing::load_report it;
    it.running = core::slot_count(static_cast<std::uint32_t>(queue_.running()));
    it.waiting =
        core::queue_length(static_cast<std::uint32_t>(queue_.waiting()));
    it.slots = queue_.slots();
    auto const now = core::boot_clock::now();
    it.wait_first = queue_.wait_first(now);
    it.wait_last = queue_.wait_last(now);
    it.wait_for_bodies = queue_.wait_for_bodies();
    it.body_rate = queue_.body_rate();
    it.pace = queue_.pace();
    it.rejecting =
        core::percentage(static_cast<std::uint32_t>(rejecting_ * 100));
    return it;
}

// One timer for the queue; set again only where it is due sooner.
void owner::watch_time()
{
    auto const due = queue_.next_wake();
    auto const now = core::boot_clock::now();
    bool const is_set = timer_due_ > now;
    if (!due || (is_set && timer_due_ <= *due))
    {
        return;
    }
    // At least a millisecond away: timers are no finer than that.
    timer_due_ = std::max(*due, now + core::milliseconds(1));
    timer_.expires_after(timer_due_ - now);
    timer_.async_wait(
        [weak = weak_from_this()](boost::system::error_code const& ec) {
            if (auto const self = weak.lock(); self && !ec)
            {
                self->timer_due_ = {};
                self->feed(admission::time_passed{});
            }
        });
}

} // namespace yuccafall::upstream
