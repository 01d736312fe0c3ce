// Passes events from sessions and the worker to the slot queue and carries out
// the actions that it returns.
#include "upstream/owner.hpp"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

#include "core/log.hpp"
#include "core/overloaded.hpp"

namespace yuccafall::upstream {

using core::error_kind;

namespace {

// A worker that exceeds its timeout has this long to report it before its
// connection is closed.
constexpr core::milliseconds worker_timeout_grace{300};

// No call is sent to a worker for this long after it refused a connection.
constexpr core::milliseconds unreachable_backoff{250};

// Load reports are sent to other nodes at least min_load_interval apart. A node
// receives them until load_subscription_time after its last offer.
constexpr core::milliseconds min_load_interval{50};
constexpr core::milliseconds load_subscription_time{3'000};
// A worker with more free slots than this does not count as nearly full.
constexpr std::uint32_t nearly_full_margin = 2;

// A new observation has this weight in the moving average of rejected calls.
constexpr double rejection_weight = 0.08;

core::milliseconds to_milliseconds(core::duration it)
{
    return std::chrono::duration_cast<core::milliseconds>(it);
}

admission::queue_settings queue_settings_of(worker_owner_settings const& it)
{
    admission::queue_settings out;
    out.body_pacing.link_rate = it.link_bandwidth;
    return out;
}

} // namespace

worker_owner::worker_owner(boost::asio::io_context& context,
                           worker_owner_settings const& settings,
                           dialect::header_codec dialect,
                           notice_handler on_suspect,
                           std::shared_ptr<counters> counts)
    : queue_timer_(context), dialect_(dialect),
      worker_client_(std::make_shared<worker_client>(
          context, settings.worker_endpoint, dialect)),
      queue_(queue_settings_of(settings)), load_timer_(context),
      crash_watch_(settings.incarnation), on_suspect_(std::move(on_suspect)),
      counts_(std::move(counts))
{}

void worker_owner::handle(session_id from, peers::message message,
                          reply_function reply)
{
    std::visit(core::overloaded{
                   [&](peers::offer& it) { on(from, it, std::move(reply)); },
                   [&](peers::request_body& it) { on(from, it); },
                   [&](peers::cancel& it) { on(from, it); },
                   [&](peers::ping&) { reply(peers::pong{}); },
                   // The other messages are answers to a caller's node and
                   // are ignored here.
                   [](auto&) {}},
               message);
}

void worker_owner::on(session_id from, peers::offer& offer,
                      reply_function reply)
{
    core::add(counts_->offers);
    auto const now = core::boot_clock::now();
    load_subscribers_[from] = {reply, offer.upstream, now};
    call_key const id{core::incarnation(0), ++last_call_key_};
    call_entry call;
    call.session = from;
    call.offer = std::move(offer);
    call.reply = std::move(reply);
    call.deadline = now + call.offer.deadline_remaining;
    auto const listed = workers_.find(call.offer.upstream);
    if (listed != workers_.end() && listed->second.draining)
    {
        refuse(call, error_kind::leaving, {}, false);
        return;
    }
    if (replaced_workers_.count(call.offer.upstream) != 0)
    {
        refuse(call, error_kind::wrong_upstream, {}, false);
        return;
    }
    if (now < unreachable_until_)
    {
        refuse(call, error_kind::no_upstream, unreachable_backoff, false);
        return;
    }
    admission::job job;
    job.call = id;
    job.route = call.offer.route;
    job.rank = call.offer.rank;
    job.nested = call.offer.nested;
    job.has_alternative = call.offer.has_alternative;
    job.deadline = call.deadline;
    job.target_time = now + call.offer.target_latency_remaining;
    job.awaits_body = call.offer.body_follows;
    if (call.offer.body_follows && from != local_session)
    {
        job.body_size = call.offer.body_size;
    }
    call_keys_.emplace(std::pair(from, call.offer.call), id);
    calls_.emplace(id, std::move(call));
    handle_event(admission::call_offered{job});
}

void worker_owner::on(session_id from, peers::request_body& it)
{
    auto const found = call_keys_.find({from, it.call});
    if (found == call_keys_.end())
    {
        return;
    }
    auto const id = found->second;
    calls_.at(id).offer.http_request.body = std::move(it.bytes);
    handle_event(admission::body_arrived{id});
}

void worker_owner::on(session_id from, peers::cancel const& it)
{
    auto const found = call_keys_.find({from, it.call});
    if (found == call_keys_.end())
    {
        return;
    }
    auto const id = found->second;
    cancel(id, calls_.at(id));
}

// A running call that may not be retried is left to finish, since it would not
// be known how much of it was done if it were aborted.
void worker_owner::cancel(call_key const& id, call_entry& call)
{
    core::add(counts_->canceled);
    call.canceled = true;
    if (!call.run)
    {
        call_keys_.erase({call.session, call.offer.call});
        calls_.erase(id);
        handle_event(admission::call_cancelled{id});
        return;
    }
    if (routing::is_idempotent(call.offer.repeatability))
    {
        call.run->abort();
    }
}

void worker_owner::on_session_closed(session_id closed_session)
{
    load_subscribers_.erase(closed_session);
    std::vector<call_key> ids;
    for (auto const& [session_call, id] : call_keys_)
    {
        if (session_call.first == closed_session)
        {
            ids.push_back(id);
        }
    }
    for (auto const& id : ids)
    {
        cancel(id, calls_.at(id));
    }
}

void worker_owner::set_workers(std::vector<listed_worker> const& workers)
{
    // A worker that has never been listed accepts calls too, since the list may
    // not have arrived yet.
    bool all_draining =
        !workers.empty() || !workers_.empty() || worker_removed_;
    workers_.clear();
    replaced_workers_.clear();
    for (auto const& it : workers)
    {
        workers_.emplace(it.id, it);
        all_draining = all_draining && it.draining;
        worker_removed_ = false;
        if (!it.draining && it.slots != queue_.slots())
        {
            handle_event(admission::slots_changed{it.slots});
        }
    }
    worker_removed_ = all_draining && workers.empty();
    if (draining_)
    {
        return;
    }
    // Calls that wait for a draining worker are refused, since another worker
    // can run them sooner.
    if (all_draining)
    {
        handle_event(admission::drain_started{});
        return;
    }
    handle_event(admission::drain_ended{});
}

void worker_owner::start_draining()
{
    if (!std::exchange(draining_, true))
    {
        handle_event(admission::drain_started{});
    }
}

void worker_owner::close()
{
    queue_timer_.cancel();
    load_timer_.cancel();
    worker_client_->close();
}

void worker_owner::handle_event(admission::event const& it)
{
    auto const actions = queue_.handle(it, core::boot_clock::now());
    for (auto const& a : actions)
    {
        apply(a);
    }
    set_queue_timer();
    send_load_reports();
}

// Sends nothing while the worker is far from full before and after the change,
// since the exact load then changes no choice of an upstream.
void worker_owner::send_load_reports()
{
    auto const now = core::boot_clock::now();
    auto const current = load();
    auto const open_calls = [](balancing::load_report const& l) {
        return l.running.value() + l.waiting.value();
    };
    auto const nearly_full = [&](balancing::load_report const& l) {
        return open_calls(l) + nearly_full_margin >= l.slots.value();
    };
    if (load_report_scheduled_ ||
        open_calls(current) == open_calls(last_sent_load_) ||
        (!nearly_full(current) && !nearly_full(last_sent_load_)))
    {
        return;
    }
    if (now - last_sent_at_ < min_load_interval)
    {
        load_report_scheduled_ = true;
        load_timer_.expires_after(min_load_interval - (now - last_sent_at_));
        load_timer_.async_wait(
            [weak = weak_from_this()](boost::system::error_code const& ec) {
                if (auto const self = weak.lock(); self && !ec)
                {
                    self->load_report_scheduled_ = false;
                    self->send_load_reports();
                }
            });
        return;
    }
    last_sent_load_ = current;
    last_sent_at_ = now;
    for (auto to = load_subscribers_.begin(); to != load_subscribers_.end();)
    {
        if (now - to->second.last_offer > load_subscription_time)
        {
            to = load_subscribers_.erase(to);
            continue;
        }
        to->second.send(peers::load_update{to->second.upstream, current});
        ++to;
    }
}

void worker_owner::apply(admission::action const& it)
{
    std::visit([this](auto const& a) { apply(a); }, it);
}

void worker_owner::apply(admission::request_body const& it)
{
    auto const& call = calls_.at(it.call);
    call.reply(peers::body_request{call.offer.call});
}

void worker_owner::apply(admission::start_call const& it)
{
    start_run(it.call, calls_.at(it.call));
}

void worker_owner::apply(admission::refuse_call const& it)
{
    auto const found = calls_.find(it.call);
    auto const call = std::move(found->second);
    calls_.erase(found);
    call_keys_.erase({call.session, call.offer.call});
    refuse(call, it.kind, it.retry_after, false);
}

void worker_owner::refuse(call_entry const& call, error_kind kind,
                          core::milliseconds retry_after, bool reached_worker)
{
    core::add(counts_->refused);
    // Refusing an offer that required a free slot is ordinary, since the call
    // goes on to another worker.
    auto const log_class = call.offer.has_alternative
                               ? core::request_event::ordinary
                               : core::request_event::exceptional;
    if (core::admit_request_line(log_class))
    {
        core::log_event(
            core::log_level::info, "call_refused",
            {{"request", call.offer.request_id.value()},
             {"upstream", call.offer.upstream.value()},
             {"kind", core::error_response_for(kind).name},
             {"rank", call.offer.rank.value()},
             {"remaining_ms", call.offer.deadline_remaining.count()},
             {"running", queue_.running()},
             {"waiting", queue_.waiting()},
             {"slots", queue_.slots().value()},
             {"retry_after_ms", retry_after.count()}});
    }
    call.reply(peers::refused{call.offer.call, kind, retry_after,
                              reached_worker, load()});
}

void worker_owner::start_run(call_key const& id, call_entry& call)
{
    core::add(counts_->runs);
    auto const now = core::boot_clock::now();
    call.started = now;
    auto const remaining =
        std::max(to_milliseconds(call.deadline - now), core::milliseconds(1));
    auto message = std::move(call.offer.http_request);
    call.fingerprint =
        poison::fingerprint_of(message.method, message.target, message.body);
    dialect_.write_worker_metadata(
        message.headers, {call.offer.upstream, remaining, call.offer.origin});
    call.run = worker_client_->start(
        message, call.offer.request_id, remaining + worker_timeout_grace,
        [self = shared_from_this(), id](worker_outcome outcome) {
            self->on_run_ended(id, std::move(outcome));
        });
}

void worker_owner::on_run_ended(call_key const& id, worker_outcome outcome)
{
    auto const found = calls_.find(id);
    auto call = std::move(found->second);
    calls_.erase(found);
    call_keys_.erase({call.session, call.offer.call});

    bool const completed = std::holds_alternative<worker_answered>(outcome);
    bool const rejected = std::holds_alternative<worker_rejected>(outcome);
    auto const* load = std::visit(
        core::overloaded{
            [](worker_answered const& it) { return &it.marks.load; },
            [](worker_rejected const& it) { return &it.marks.load; },
            [](worker_failed const& it) { return &it.load; },
            [](worker_unreachable const&) {
                return static_cast<
                    std::optional<admission::worker_load> const*>(nullptr);
            }},
        outcome);
    if (load != nullptr && *load)
    {
        handle_event(admission::load_reported{**load});
    }
    if (rejected)
    {
        handle_event(admission::worker_rejected{});
    }
    if (completed || rejected)
    {
        update_rejected_share(rejected);
    }
    handle_event(admission::run_ended{
        id, completed ? admission::run_result::completed
                      : admission::run_result::incomplete});
    std::visit([&](auto& it) { report_outcome(call, it); }, outcome);
}

void worker_owner::update_rejected_share(bool rejected)
{
    rejected_share_ +=
        rejection_weight * ((rejected ? 1.0 : 0.0) - rejected_share_);
}

void worker_owner::report_outcome(call_entry& call, worker_answered& outcome)
{
    auto const now = core::boot_clock::now();
    crash_watch_.request_completed(call.fingerprint, now);
    auto const ran_for = to_milliseconds(now - call.started);
    call.reply(peers::answered{call.offer.call, std::move(outcome.message),
                               ran_for, load()});
}

void worker_owner::report_outcome(call_entry& call, worker_rejected& outcome)
{
    core::add(counts_->rejected_by_worker);
    if (outcome.marks.wrong_worker)
    {
        replaced_workers_.insert(call.offer.upstream);
    }
    refuse(call,
           outcome.marks.wrong_worker ? error_kind::wrong_upstream
                                      : error_kind::upstream_rejected,
           {}, true);
}

void worker_owner::report_outcome(call_entry& call, worker_unreachable& outcome)
{
    if (call.canceled)
    {
        return;
    }
    unreachable_until_ = core::boot_clock::now() + unreachable_backoff;
    core::log_event(core::log_level::warning, "worker_unreachable",
                    {{"upstream", call.offer.upstream.value()},
                     {"reason", outcome.reason}});
    refuse(call, error_kind::no_upstream, unreachable_backoff, false);
}

void worker_owner::check_for_crash(poison::fingerprint const& request)
{
    if (!crash_watch_.request_interrupted(request, core::boot_clock::now()))
    {
        return;
    }
    worker_client_->probe([weak = weak_from_this()](bool reached) {
        auto const self = weak.lock();
        if (!self)
        {
            return;
        }
        if (reached)
        {
            self->crash_watch_.probe_succeeded();
            return;
        }
        auto const now = core::boot_clock::now();
        self->unreachable_until_ = now + unreachable_backoff;
        for (auto const& it : self->crash_watch_.probe_failed(now))
        {
            core::log_event(
                core::log_level::warning, "worker_crashed",
                {{"suspect", it.request.value()}, {"crash", it.crash.number}});
            self->on_suspect_(it);
        }
    });
}

void worker_owner::report_outcome(call_entry& call, worker_failed& outcome)
{
    if (call.canceled)
    {
        return;
    }
    core::add(counts_->failed);
    if (outcome.cause == http::failure_cause::closed_without_response)
    {
        check_for_crash(call.fingerprint);
    }
    auto const kind = outcome.cause == http::failure_cause::timed_out
                          ? error_kind::deadline_passed
                          : error_kind::upstream_failed;
    if (core::admit_request_line(core::request_event::exceptional))
    {
        core::log_event(core::log_level::info, "run_failed",
                        {{"request", call.offer.request_id.value()},
                         {"upstream", call.offer.upstream.value()},
                         {"kind", core::error_response_for(kind).name},
                         {"reason", outcome.reason},
                         {"running", queue_.running()}});
    }
    call.reply(peers::failed{call.offer.call, kind, std::move(outcome.reason),
                             load()});
}

balancing::load_report worker_owner::load() const
{
    balancing::load_report report;
    report.running =
        core::slot_count(static_cast<std::uint32_t>(queue_.running()));
    report.waiting =
        core::queue_length(static_cast<std::uint32_t>(queue_.waiting()));
    report.slots = queue_.slots();
    auto const now = core::boot_clock::now();
    report.wait_at_front = queue_.wait_at_front(now);
    report.wait_at_back = queue_.wait_at_back(now);
    report.wait_for_bodies = queue_.wait_for_bodies();
    report.body_rate = queue_.body_rate();
    report.pace = queue_.pace();
    report.rejection_share =
        core::percentage(static_cast<std::uint32_t>(rejected_share_ * 100));
    return report;
}

// Sets the one timer of the queue, unless it already expires early enough.
void worker_owner::set_queue_timer()
{
    auto const due = queue_.next_wake();
    auto const now = core::boot_clock::now();
    bool const is_set = queue_timer_due_ > now;
    if (!due || (is_set && queue_timer_due_ <= *due))
    {
        return;
    }
    // The timer is set at least a millisecond ahead, which is its resolution.
    queue_timer_due_ = std::max(*due, now + core::milliseconds(1));
    queue_timer_.expires_after(queue_timer_due_ - now);
    queue_timer_.async_wait(
        [weak = weak_from_this()](boost::system::error_code const& ec) {
            if (auto const self = weak.lock(); self && !ec)
            {
                self->queue_timer_due_ = {};
                self->handle_event(admission::timer_expired{});
            }
        });
}

} // namespace yuccafall::upstream
