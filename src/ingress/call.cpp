// Drives one request: the decisions are in next_step, upstream_scores and
// retry_budget.
#include "ingress/call.hpp"

#include <algorithm>
#include <utility>

#include "core/log.hpp"
#include "core/overloaded.hpp"

namespace yuccafall::ingress {

using core::error_kind;

namespace {

// A worker stops at its time limit and says so; its answer has this long to
// come back before the call is ended here. Below the quarter of a second that
// the platform allows beyond a route's time limit.
constexpr core::milliseconds answer_on_its_way{120};

// Larger bodies wait for the other node's word that it takes the call, and go
// over a connection of their own.
constexpr std::size_t long_body = 8UL * 1024;

balancing::outcome seen_by_refusal(error_kind kind)
{
    switch (kind)
    {
    case error_kind::no_upstream:
    case error_kind::leaving:
        return balancing::outcome::unreachable;
    case error_kind::wrong_upstream:
        return balancing::outcome::gone;
    default:
        return balancing::outcome::refused;
    }
}

core::milliseconds whole_milliseconds(core::duration it)
{
    return std::max(std::chrono::duration_cast<core::milliseconds>(it),
                    core::milliseconds(0));
}

} // namespace

call::call(std::shared_ptr<ingress> in,
           std::shared_ptr<http::server_connection> caller, http::request it)
    : in_(std::move(in)), caller_(std::move(caller)), message_(std::move(it)),
      view_(in_->view_), timer_(in_->context_),
      arrived_(caller_->request_ended())
{}

void call::start()
{
    core::add(in_->counts_->requests);
    if (auto const prepared = prepare(); !prepared)
    {
        refuse(prepared.error(), {});
        return;
    }
    caller_->on_gone([self = shared_from_this()] { self->caller_left(); });
    in_->budget_.requested(service_, arrived_);
    watch_deadline();
    try_next();
}

core::result<void> call::prepare()
{
    auto const marks = in_->dialect_.read_caller_metadata(message_.headers);
    request_ = marks.request_id.value_or(core::request_id());
    if (!in_->taking_)
    {
        return core::failure(error_kind::leaving, "the node is about to end");
    }
    if (!view_ || !view_->routes)
    {
        return core::failure(error_kind::not_ready, "no configuration yet");
    }
    auto const* host = http::find_header(message_.headers, "host");
    route_ =
        host == nullptr ? nullptr : view_->routes->find(*host, message_.target);
    if (route_ == nullptr)
    {
        return core::failure(error_kind::no_route, "no route matches");
    }
    service_ = in_->split_.next(*route_);
    nested_ = route_->timeout <= in_->settings_.nested_limit;
    auto const patience_of_caller = marks.timeout.value_or(route_->timeout);
    auto const patience = std::min(patience_of_caller, route_->timeout);
    if (patience.count() <= 0)
    {
        return core::failure(error_kind::expired, "no time left");
    }
    deadline_ = arrived_ + patience;
    // The aim counts from the caller's first attempt.
    aim_ = arrived_ + route_->aim -
           in_->patience_.waited_before(route_->name, patience_of_caller);
    if (is_poisoned())
    {
        return core::failure(error_kind::poisoned,
                             "the request crashes the workers that run it");
    }
    auto const found = view_->upstreams.find(service_);
    if (found == view_->upstreams.end() || found->second.empty())
    {
        return core::failure(error_kind::no_upstream, "no worker is listed");
    }
    upstreams_ = &found->second;
    http::strip_connection_headers(message_.headers);
    http::remove_header(message_.headers, "expect");
    return {};
}

bool call::is_poisoned() const
{
    return !view_->poisoned.empty() &&
           view_->poisoned.count(poison::fingerprint_of(
               message_.method, message_.target, message_.body)) != 0;
}

void call::try_next()
{
    // Another node may have told of a crash since the last attempt.
    if (in_->view_->poisoned.size() > view_->poisoned.size() &&
        in_->view_->poisoned.count(poison::fingerprint_of(
            message_.method, message_.target, message_.body)) != 0)
    {
        refuse({error_kind::poisoned,
                "the request crashes the workers that run it"},
               {});
        return;
    }
    auto const now = core::boot_clock::now();
    balancing::demand const what{route_->name,
                                 core::byte_count(message_.body.size()),
                                 message_.body.size() > long_body, nested_};
    auto const found =
        in_->scores_.choose(*upstreams_, tried_, what, now, in_->random_);
    std::visit(
        core::overloaded{[&](balancing::chosen const& it) { send_offer(it); },
                         [&](balancing::none_known const&) {
                             refuse({error_kind::no_upstream,
                                     "no further worker is listed"},
                                    retry_after_);
                         }},
        found);
}

void call::send_offer(balancing::chosen const& choice)
{
    auto const now = core::boot_clock::now();
    auto const& to = *choice.to;
    upstream_ = &to;
    had_alternative_ = choice.has_alternative &&
                       offers_for_free_slot_ < most_offers_for_free_slot;
    offers_for_free_slot_ += had_alternative_ ? 1 : 0;
    tried_.insert(to.id);
    attempt_ = core::call_id{in_->incarnation_, ++in_->last_call_};
    bool const is_long = message_.body.size() > long_body;
    path_ = {to.node,
             is_long ? peers::lane::long_bodies : peers::lane::short_messages};
    peers::offer it;
    it.call = *attempt_;
    it.upstream = to.id;
    it.request = request_;
    it.route = route_->name;
    it.kind = route_->kind;
    it.rank = route_->rank;
    it.nested = nested_;
    it.remaining = whole_milliseconds(deadline_ - now);
    it.aim_remaining = whole_milliseconds(aim_ - now);
    it.origin = in_->settings_.service;
    it.repeated = may_have_run_;
    it.has_alternative = had_alternative_;
    it.body_follows = is_long;
    it.body_size = core::byte_count(message_.body.size());
    body_sent_ = !is_long;
    it.message.method = message_.method;
    it.message.target = message_.target;
    it.message.headers = message_.headers;
    if (!is_long)
    {
        it.message.body = message_.body;
    }
    core::add(in_->counts_->offers);
    in_->scores_.sent(to.id, now);
    in_->links_->open(path_, *attempt_,
                      {[self = shared_from_this()](peers::message m) {
                           self->received(std::move(m));
                       },
                       [self = shared_from_this()](
                           peers::path_loss const& how) { self->lost(how); }});
    in_->links_->send(path_, it);
}

void call::received(peers::message it)
{
    std::visit([this](auto& m) { on(m); }, it);
}

void call::on(peers::body_wanted const& it)
{
    // Kept: a call that is turned away by the worker goes to another one.
    body_sent_ = true;
    in_->links_->send(path_, peers::body{it.call, message_.body});
}

void call::on(peers::refused const& it)
{
    in_->scores_.reported(upstream_->id, it.load, core::boot_clock::now());
    attempt_ended(attempt_refused{it.kind, it.retry_after, it.reached_worker,
                                  had_alternative_},
                  seen_by_refusal(it.kind));
}

void call::on(peers::answered& it)
{
    in_->scores_.reported(upstream_->id, it.load, core::boot_clock::now());
    in_->scores_.ran(upstream_->id, route_->name, it.ran_for);
    leave_attempt(balancing::outcome::answered);
    answer(std::move(it.message), it.ran_for);
}

void call::on(peers::failed const& it)
{
    in_->scores_.reported(upstream_->id, it.load, core::boot_clock::now());
    attempt_ended(attempt_failed{it.kind, it.detail},
                  it.kind == error_kind::deadline_passed
                      ? balancing::outcome::abandoned
                      : balancing::outcome::failed);
}

void call::lost(peers::path_loss const& how)
{
    attempt_ended(path_lost{how.may_have_arrived && body_sent_, how.reason},
                  balancing::outcome::unreachable);
}

void call::leave_attempt(balancing::outcome seen)
{
    in_->links_->close(path_, *attempt_);
    in_->scores_.ended(upstream_->id, seen, core::boot_clock::now());
    attempt_.reset();
}

call_progress call::progress(core::instant now) const
{
    call_progress it;
    it.kind = route_->kind;
    it.most_attempts = route_->attempts;
    it.workers_reached = workers_reached_;
    it.redirects = redirects_;
    it.remaining = whole_milliseconds(deadline_ - now);
    it.usual = route_->aim / 2;
    it.retry_after = retry_after_;
    return it;
}

void call::attempt_ended(attempt_end const& how, balancing::outcome seen)
{
    leave_attempt(seen);
    bool const reached_worker = std::visit(
        core::overloaded{
            [](attempt_refused const& it) { return it.reached_worker; },
            [](attempt_failed const&) { return true; },
            [](path_lost const& it) { return it.may_have_run; }},
        how);
    if (reached_worker)
    {
        ++workers_reached_;
        may_have_run_ =
            may_have_run_ || !std::holds_alternative<attempt_refused>(how);
    }
    auto const step = decide(progress(core::boot_clock::now()), how);
    note_retry_after(how, step);
    std::visit([&](auto const& it) { act(it, how); }, step);
}

// The earliest return that any refusal has named, but for offers that were to
// be refused unless a slot was free: those say nothing of the queues.
void call::note_retry_after(attempt_end const& how, next_step const& step)
{
    auto const* refused = std::get_if<attempt_refused>(&how);
    auto const* again = std::get_if<try_another>(&step);
    if (refused == nullptr || (again != nullptr && again->may_return))
    {
        return;
    }
    retry_after_ = retry_after_.count() == 0
                       ? refused->retry_after
                       : std::min(retry_after_, refused->retry_after);
}

void call::act(try_another const& it, attempt_end const& how)
{
    auto const now = core::boot_clock::now();
    if (it.may_return)
    {
        tried_.erase(upstream_->id);
        try_next();
        return;
    }
    redirects_ += it.counts ? 0 : 1;
    if (it.counts && !in_->budget_.take(service_, now))
    {
        core::add(in_->counts_->retries_denied);
        auto const* refused = std::get_if<attempt_refused>(&how);
        refuse(
            refused != nullptr
                ? core::error{refused->kind, "no retry budget"}
                : core::error{error_kind::upstream_failed, "no retry budget"},
            retry_after_);
        return;
    }
    core::add(it.counts ? in_->counts_->retries : in_->counts_->redirects);
    if (core::admit_request_line(core::request_event::exceptional))
    {
        core::log_event(core::log_level::info, "call_moved",
                        {{"request", request_.value()},
                         {"route", route_->name.value()},
                         {"from", upstream_->id.value()},
                         {"counts", it.counts},
                         {"redirects", redirects_},
                         {"workers_reached", workers_reached_}});
    }
    try_next();
}

void call::act(give_up const& it, attempt_end const&)
{
    refuse({it.kind, it.detail}, it.retry_after);
}

void call::watch_deadline()
{
    timer_.expires_after(deadline_ + answer_on_its_way -
                         core::boot_clock::now());
    timer_.async_wait(
        [weak = weak_from_this()](boost::system::error_code const& ec) {
            if (auto const self = weak.lock(); self && !ec)
            {
                self->deadline_passed();
            }
        });
}

void call::deadline_passed()
{
    if (finished_)
    {
        return;
    }
    if (attempt_)
    {
        in_->links_->send(path_, peers::cancel{*attempt_});
        leave_attempt(balancing::outcome::abandoned);
    }
    refuse({error_kind::deadline_passed, "no answer within the time limit"},
           {});
}

void call::caller_left()
{
    if (std::exchange(finished_, true))
    {
        return;
    }
    core::add(in_->counts_->callers_left);
    if (core::admit_request_line(core::request_event::exceptional))
    {
        core::log_event(
            core::log_level::info, "caller_left",
            {{"request", request_.value()},
             {"route", route_->name.value()},
             {"upstream", upstream_ == nullptr ? "" : upstream_->id.value()},
             {"attempt_open", attempt_.has_value()},
             {"took_ms",
              whole_milliseconds(core::boot_clock::now() - arrived_).count()}});
    }
    if (attempt_)
    {
        in_->links_->send(path_, peers::cancel{*attempt_});
        leave_attempt(balancing::outcome::abandoned);
    }
    finish();
}

void call::answer(http::response it, core::milliseconds ran_for)
{
    if (std::exchange(finished_, true))
    {
        return;
    }
    auto const took = whole_milliseconds(core::boot_clock::now() - arrived_);
    core::add(in_->counts_->answered);
    in_->counts_->latency.observe(took);
    if (core::admit_request_line(core::request_event::ordinary))
    {
        core::log_event(core::log_level::info, "call_answered",
                        {{"request", request_.value()},
                         {"route", route_->name.value()},
                         {"upstream", upstream_->id.value()},
                         {"status", it.status},
                         {"took_ms", took.count()},
                         {"ran_ms", ran_for.count()},
                         {"offers_for_free_slot", offers_for_free_slot_},
                         {"redirects", redirects_}});
    }
    http::strip_connection_headers(it.headers);
    it.keep_alive = true;
    caller_->answer(it);
    finish();
}

void call::refuse(core::error const& why, core::milliseconds retry_after)
{
    if (std::exchange(finished_, true))
    {
        return;
    }
    // A promise that the call did not run holds for all of its attempts.
    auto kind = why.kind;
    if (may_have_run_ && core::answer_of(kind).ran == core::execution::not_run)
    {
        kind = error_kind::upstream_failed;
    }
    core::add(in_->counts_->refused[static_cast<std::size_t>(kind)]);
    if (core::admit_request_line(core::request_event::exceptional))
    {
        core::log_event(
            core::log_level::info, "call_ended",
            {{"request", request_.value()},
             {"kind", core::answer_of(kind).name},
             {"route", route_ == nullptr ? "" : route_->name.value()},
             {"upstream", upstream_ == nullptr ? "" : upstream_->id.value()},
             {"nested", nested_},
             {"workers_reached", workers_reached_},
             {"redirects", redirects_},
             {"took_ms",
              whole_milliseconds(core::boot_clock::now() - arrived_).count()},
             {"version", view_ && view_->routes
                             ? view_->routes->source().version.value()
                             : 0},
             {"retry_after_ms", retry_after.count()},
             {"reason", why.detail}});
    }
    caller_->answer(in_->refusal({kind, why.detail}, retry_after));
    finish();
}

void call::finish()
{
    timer_.cancel();
    message_ = {};
    caller_.reset();
}

} // namespace yuccafall::ingress
