// Passes events from sessions and the worker to the slot queue and carries out
// the actions that it returns. What the end of a run shows goes to the types
// that decide upon it.
#include "upstream/worker_owner.hpp"

#include <algorithm>
#include <utility>

#include "core/log.hpp"
#include "core/overloaded.hpp"
#include "upstream/load_report.hpp"

namespace yuccafall::upstream {

using core::error_kind;

namespace {

core::milliseconds to_milliseconds(core::duration it)
{
    return std::chrono::duration_cast<core::milliseconds>(it);
}

admission::queue_settings queue_settings_of(worker_owner_settings const& it)
{
    admission::queue_settings out;
    out.body_pacing.link_bandwidth = it.link_bandwidth;
    return out;
}

worker_client_settings client_settings_of(worker_owner_settings const& it)
{
    worker_client_settings out;
    out.max_response_body = it.max_response_body;
    out.response_memory = it.response_memory;
    return out;
}

} // namespace

worker_owner::worker_owner(boost::asio::io_context& context,
                           worker_owner_settings const& settings,
                           metadata::header_codec header_codec,
                           poison_notice_handler on_poison_notice,
                           std::shared_ptr<counters> counters,
                           std::shared_ptr<transport::paced_link> link)
    : queue_timer_(context), worker_client_(std::make_shared<worker_client>(
                                 context, settings.worker_endpoint,
                                 header_codec, client_settings_of(settings))),
      runs_(worker_client_, header_codec, settings.local_runs, counters),
      queue_(queue_settings_of(settings)),
      warm_up_(std::make_shared<worker_warm_up>(
          context, worker_client_, counters,
          [this](admission::cold_rate_changed const& it) {
              handle_event(it);
          })),
      pending_starts_(std::make_shared<pending_starts>(
          context.get_executor(),
          [this](call_key const& key) { start_run(key); })),
      load_publisher_(
          std::make_shared<load_publisher>(context, [this] { return load(); })),
      crash_monitor_(std::make_shared<crash_monitor>(
          settings.incarnation,
          [client = worker_client_](std::function<void(bool)> done) {
              client->probe(std::move(done));
          },
          std::move(on_poison_notice),
          [this](core::instant now) {
              availability_.record_unreachable(now);
          })),
      reporter_(
          queue_, availability_, [this] { return load(); }, counters),
      counters_(std::move(counters)), link_(std::move(link))
{}

void worker_owner::handle(session_id from, peers::message message,
                          reply_function reply)
{
    std::visit(core::overloaded{
                   [&](peers::offer& it) { on(from, it, std::move(reply)); },
                   [&](peers::body_data& it) { on(from, it); },
                   [&](peers::cancel& it) { on(from, it); },
                   [&](peers::ping&) { reply(peers::pong{}); },
                   // The other messages are replies to the node that offers a
                   // call and are ignored here.
                   [](auto&) {}},
               message);
}

void worker_owner::on(session_id from, peers::offer& offer,
                      reply_function reply)
{
    core::add(counters_->offers);
    auto const now = core::boot_clock::now();
    load_publisher_->subscribe(from, reply, offer.upstream, now);
    call_entry call;
    call.session = from;
    call.offer = std::move(offer);
    call.reply = std::move(reply);
    call.deadline = now + call.offer.deadline_remaining;
    if (auto const refusal =
            availability_.refusal_of_offer(call.offer.upstream, now))
    {
        reporter_.refuse(call, *refusal);
        return;
    }
    update_rate(call.offer.upstream, call.offer.rate, rate_source::offer);
    warm_up_->record_offer(call.offer.warm_up);
    admission::job job;
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
    job.link_backlog = link_backlog();
    job.call = calls_.add(std::move(call));
    handle_event(admission::call_offered{job});
}

void worker_owner::on(session_id from, peers::body_data& it)
{
    auto const key = calls_.find_key(from, it.call);
    if (!key)
    {
        return;
    }
    calls_.at(*key).offer.http_request.body = std::move(it.bytes);
    handle_event(admission::body_arrived{*key});
}

void worker_owner::on(session_id from, peers::cancel const& it)
{
    if (auto const key = calls_.find_key(from, it.call))
    {
        cancel(*key, calls_.at(*key));
    }
}

// A running call that is not idempotent is left to finish. If it were aborted,
// it would not be known how much of it the worker had done.
void worker_owner::cancel(call_key const& key, call_entry& call)
{
    core::add(counters_->canceled);
    call.canceled = true;
    if (pending_starts_->remove(key))
    {
        calls_.remove(key);
        handle_event(admission::run_ended{
            key, admission::run_result::incomplete, core::byte_count(0)});
        return;
    }
    if (!call.run)
    {
        calls_.remove(key);
        handle_event(admission::call_canceled{key});
        return;
    }
    if (routing::is_idempotent(call.offer.repeatability))
    {
        call.run->abort();
    }
}

void worker_owner::on_session_closed(session_id closed_session)
{
    load_publisher_->unsubscribe(closed_session);
    for (auto const& key : calls_.calls_of(closed_session))
    {
        // The slot of a call that is canceled may let the queue refuse others.
        if (auto* const call = calls_.find(key))
        {
            cancel(key, *call);
        }
    }
}

void worker_owner::set_workers(std::vector<listed_worker> const& workers)
{
    availability_.set_workers(workers);
    warm_up_->set_workers(workers);
    for (auto const& it : workers)
    {
        if (!it.draining && it.slots != queue_.slots())
        {
            handle_event(admission::slots_changed{it.slots});
        }
    }
    update_queue_draining();
}

void worker_owner::set_suspects(std::set<poison::fingerprint> suspects)
{
    crash_monitor_->set_suspects(std::move(suspects), core::boot_clock::now());
}

void worker_owner::update_queue_draining()
{
    if (availability_.draining())
    {
        return;
    }
    if (auto const kind =
            availability_.refusal_of_all_calls(core::boot_clock::now()))
    {
        start_refusing(*kind);
        return;
    }
    handle_event(admission::drain_ended{});
}

void worker_owner::record_leaving(core::upstream_id const& upstream)
{
    if (!availability_.record_leaving(upstream, core::boot_clock::now()))
    {
        return;
    }
    core::log_event(
        core::log_level::info, "worker_leaves",
        {{"upstream", upstream.value()},
         {"started", availability_.workers().start_of(upstream).value()}});
    update_queue_draining();
}

void worker_owner::start_draining()
{
    if (availability_.start_draining())
    {
        start_refusing(error_kind::leaving);
    }
}

void worker_owner::start_refusing(error_kind kind)
{
    handle_event(admission::drain_started{kind});
    for (auto const& key : pending_starts_->remove_all())
    {
        refuse_pending_start(key, kind);
    }
}

void worker_owner::refuse_pending_start(call_key const& key, error_kind kind)
{
    auto const call = calls_.remove(key);
    handle_event(admission::run_ended{key, admission::run_result::incomplete,
                                      core::byte_count(0)});
    reporter_.refuse(call, {kind});
}

void worker_owner::close()
{
    queue_timer_.cancel();
    pending_starts_->remove_all();
    warm_up_->close();
    load_publisher_->close();
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
    warm_up_->set_calls_wait(queue_.waiting() > 0);
    load_publisher_->publish();
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
    if (it.waited_for_cold_rate)
    {
        core::add(counters_->cold_waited);
    }
    pending_starts_->add(it.call);
}

void worker_owner::apply(admission::refuse_call const& it)
{
    auto const call = calls_.remove(it.call);
    if (it.due_to_cold_rate)
    {
        core::add(counters_->cold_refused);
    }
    reporter_.refuse(call, {it.kind, it.retry_after});
}

// A call that must not run twice is left to its deadline, since closing its
// connection would end it if the worker has it after all.
void worker_owner::apply(admission::call_lost const& it)
{
    // If the thread was delayed, the queue may miss a call at the worker that
    // has not been sent yet. Its slot is given away, so it is not sent any
    // more.
    if (pending_starts_->remove(it.call))
    {
        refuse_pending_start(it.call, error_kind::overloaded);
        return;
    }
    auto& call = calls_.at(it.call);
    call.lost = true;
    reporter_.report_loss(call);
    if (routing::is_idempotent(call.offer.repeatability))
    {
        call.run->abort();
    }
}

void worker_owner::start_run(call_key const& key)
{
    runs_.start(calls_.at(key),
                [self = shared_from_this(), key](worker_outcome outcome) {
                    self->on_run_ended(key, std::move(outcome));
                });
}

void worker_owner::on_run_ended(call_key const& key, worker_outcome outcome)
{
    auto call = calls_.remove(key);
    // The end of this run may start other calls, which must not go to a worker
    // that counts as warm if this run shows that it may be another one.
    warm_up_->record_outcome(outcome, call.offer.route,
                             core::boot_clock::now() - call.started_at,
                             call.canceled);

    bool const completed = std::holds_alternative<worker_answered>(outcome);
    bool const rejected = std::holds_alternative<worker_rejected>(outcome);
    auto const* metadata = metadata_of(outcome);
    if (metadata != nullptr && !metadata->wrong_worker)
    {
        update_rate(call.offer.upstream, metadata->rate,
                    completed ? rate_source::response : rate_source::rejection);
        if (metadata->leaves)
        {
            record_leaving(call.offer.upstream);
        }
    }
    auto const load = load_of(outcome);
    if (load)
    {
        handle_event(admission::load_reported{*load, key});
    }
    if (rejected)
    {
        handle_event(admission::call_rejected{load});
    }
    rejection_share_.record({end_of(outcome), call.lost,
                             core::boot_clock::now() - call.started_at,
                             queue_.expected_service_time(call.offer.route)});
    auto const* answered = std::get_if<worker_answered>(&outcome);
    handle_event(admission::run_ended{
        key,
        completed ? admission::run_result::completed
                  : admission::run_result::incomplete,
        core::byte_count(
            answered == nullptr ? 0 : answered->response.body.size())});
    std::visit([&](auto& it) { report_outcome(call, it); }, outcome);
}

void worker_owner::update_rate(core::upstream_id const& upstream,
                               core::stated_rate const& rate,
                               rate_source source)
{
    if (!rate_statements_.accept(upstream, rate, source, queue_.stated_rate()))
    {
        return;
    }
    auto const limit = core::limit_of(rate);
    bool const changed = limit != core::limit_of(queue_.stated_rate());
    handle_event(admission::rate_stated{rate});
    if (!changed)
    {
        return;
    }
    counters_->rate_limit = limit.value_or(core::millihertz(0)).value();
    core::log_event(
        core::log_level::info, "worker_rate_stated",
        {{"upstream", upstream.value()},
         {"limited", limit.has_value()},
         {"limit_millihertz", limit.value_or(core::millihertz(0)).value()},
         {"source", name_of(source)}});
}

void worker_owner::report_outcome(call_entry& call, worker_answered& outcome)
{
    auto const now = core::boot_clock::now();
    crash_monitor_->record_answered(call.fingerprint, now);
    reporter_.report_response(call, std::move(outcome.response),
                              to_milliseconds(now - call.started_at));
}

void worker_owner::report_outcome(call_entry& call, worker_rejected& outcome)
{
    core::add(counters_->rejected_by_worker);
    if (outcome.metadata.wrong_worker)
    {
        availability_.record_replaced(call.offer.upstream);
    }
    reporter_.refuse(call,
                     {outcome.metadata.wrong_worker
                          ? error_kind::wrong_upstream
                          : error_kind::upstream_rejected},
                     true);
}

void worker_owner::report_outcome(call_entry& call, worker_unreachable& outcome)
{
    if (call.canceled)
    {
        return;
    }
    availability_.record_unreachable(core::boot_clock::now());
    core::log_event(core::log_level::warning, "worker_unreachable",
                    {{"upstream", call.offer.upstream.value()},
                     {"reason", outcome.reason}});
    reporter_.refuse(call, {error_kind::no_upstream,
                            worker_availability::unreachable_backoff});
}

void worker_owner::report_outcome(call_entry& call, worker_failed& outcome)
{
    if (outcome.fault)
    {
        counters_->invalid_responses.record(*outcome.fault);
    }
    // A canceled call that is not idempotent runs on and may crash the worker.
    if (outcome.cause == http::failure_cause::closed_without_response)
    {
        crash_monitor_->record_interrupted(call.fingerprint,
                                           core::boot_clock::now());
    }
    if (call.canceled)
    {
        return;
    }
    reporter_.report_failure(call, std::move(outcome));
}

core::duration worker_owner::link_backlog() const
{
    return link_ ? link_->backlog() : core::duration::zero();
}

balancing::load_report worker_owner::load() const
{
    return make_load_report(queue_, link_backlog(), rejection_share_.value(),
                            core::boot_clock::now());
}

// Sets the queue's timer, unless it is already set to expire early enough.
void worker_owner::set_queue_timer()
{
    auto const due = queue_.next_timer();
    auto const now = core::boot_clock::now();
    bool const is_set = queue_timer_due_ > now;
    if (!due || (is_set && queue_timer_due_ <= *due))
    {
        return;
    }
    // The timer is set at least 1 ms ahead, which is its resolution.
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
