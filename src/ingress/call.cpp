// Carries out the steps of one call. request_router, decide_next_step(),
// attempt_history, upstream_scores and retry_budget make the decisions.
#include "ingress/call.hpp"

#include <algorithm>
#include <utility>

#include "core/overloaded.hpp"
#include "ingress/call_log.hpp"
#include "ingress/call_offer.hpp"
#include "metadata/response_check.hpp"

namespace yuccafall::ingress {

using core::error_kind;

namespace {

// A worker that reaches the timeout of a call stops and sends a response that
// says so. The node waits this long after the deadline for that response before
// it ends the call itself. The value is below the quarter of a second that the
// platform allows beyond a route's timeout.
constexpr core::milliseconds timeout_response_grace{120};

core::milliseconds to_milliseconds(core::duration it)
{
    return std::max(std::chrono::duration_cast<core::milliseconds>(it),
                    core::milliseconds(0));
}

std::optional<core::warm_up_limits>
warm_up_limits_of(traffic_view const& view, core::service_name const& name)
{
    auto const& services = view.routes->source_configuration().services;
    auto const found = services.find(name);
    return found == services.end() ? std::nullopt : found->second.warm_up;
}

} // namespace

call::call(std::shared_ptr<ingress> parent,
           std::shared_ptr<http::server_connection> caller_connection,
           http::request request)
    : ingress_(std::move(parent)),
      caller_connection_(std::move(caller_connection)),
      request_(std::move(request)), view_(ingress_->view_),
      deadline_timer_(ingress_->context_)
{}

void call::start()
{
    core::add(ingress_->counters_->requests);
    if (auto const resolved = resolve_route(); !resolved)
    {
        send_error(resolved.error(), {});
        return;
    }
    if (!reserve_response_memory())
    {
        core::add(ingress_->counters_->responses_without_memory);
        send_error(
            {error_kind::overloaded, "the memory for responses is used up"},
            {});
        return;
    }
    caller_connection_->on_disconnect(
        [self = shared_from_this()] { self->on_caller_disconnected(); });
    ingress_->retry_budget_.record_request(
        terms_.service, terms_.arrived_at,
        terms_.nested ? ingress_->settings_.local_runs->repeat_share() : 0);
    ingress_->open_calls_.insert(this);
    start_deadline_timer();
    try_next_upstream();
}

void call::limit_deadline(core::instant deadline)
{
    if (deadline < terms_.deadline)
    {
        terms_.deadline = deadline;
        start_deadline_timer();
    }
}

core::result<void> call::resolve_route()
{
    auto const metadata =
        ingress_->header_codec_.read_caller_metadata(request_.headers);
    auto const* host = http::find_header(request_.headers, "host");
    request_summary summary;
    summary.method = request_.method;
    summary.target = request_.target;
    summary.body = request_.body;
    if (host != nullptr)
    {
        summary.host = *host;
    }
    summary.timeout = metadata.timeout;
    summary.id = metadata.request_id.value_or(core::request_id());
    summary.arrived_at = caller_connection_->request_received_at();
    auto routed = ingress_->router_.route(summary, view_.get(), terms_);
    if (routed)
    {
        http::strip_connection_headers(request_.headers);
        http::remove_header(request_.headers, "expect");
    }
    return routed;
}

bool call::expects_long_response() const
{
    return ingress_->upstream_scores_.mean_response_size(terms_.route->name) >
           transport::max_unpaced_message;
}

bool call::reserve_response_memory()
{
    auto const& part = ingress_->settings_.response_memory;
    auto const size =
        ingress_->upstream_scores_.mean_response_size(terms_.route->name);
    if (!part->make_room(size, core::memory_part::eviction::slow_holders,
                         terms_.arrived_at))
    {
        return false;
    }
    response_memory_.set_part(part);
    response_memory_.resize(size);
    return true;
}

void call::try_next_upstream()
{
    if (is_poisoned_meanwhile())
    {
        send_error({error_kind::poisoned,
                    "the request crashes the workers that run it"},
                   {});
        return;
    }
    auto const now = core::boot_clock::now();
    std::visit(core::overloaded{[&](balancing::chosen const& it) {
                                    if (!is_refused_at_first_node(it, now))
                                    {
                                        send_offer(it);
                                    }
                                },
                                [&](balancing::none_available const&) {
                                    send_error(
                                        {error_kind::no_upstream,
                                         "every listed worker has been tried"},
                                        history_.retry_after());
                                }},
               choose_upstream(now));
}

bool call::is_poisoned_meanwhile() const
{
    return ingress_->view_->poisoned.size() > view_->poisoned.size() &&
           is_poisoned(*ingress_->view_, request_.method, request_.target,
                       request_.body);
}

balancing::choice call::choose_upstream(core::instant now)
{
    balancing::call_traits const traits{terms_.route->name,
                                        core::byte_count(request_.body.size()),
                                        sends_body_separately(request_),
                                        terms_.nested,
                                        expects_long_response(),
                                        terms_.route->rank};
    // The view of the call does not state evacuations that began later.
    auto const evacuated = ingress_->view_ != view_
                               ? ingress_->view_->evacuated
                               : std::set<core::data_centre>{};
    return ingress_->upstream_scores_.choose(
        *terms_.upstreams,
        history_.excluded_upstreams(*terms_.upstreams, evacuated), traits, now,
        ingress_->random_);
}

// A call that has reached a worker is not refused here, since its response may
// not state that it did not run.
bool call::is_refused_at_first_node(balancing::chosen const& choice,
                                    core::instant now)
{
    if (history_.workers_reached() > 0)
    {
        return false;
    }
    auto const decision = admission::decide_first_node_admission(
        {terms_.nested, terms_.deadline, terms_.target_time}, choice.candidates,
        now, ingress_->random_);
    return std::visit(
        core::overloaded{[&](admission::first_node_admitted const& it) {
                             core::add(ingress_->counters_->first_node_probes,
                                       it.as_probe ? 1 : 0);
                             return false;
                         },
                         [&](admission::first_node_refused const& it) {
                             refuse_at_first_node(it);
                             return true;
                         }},
        decision);
}

void call::refuse_at_first_node(admission::first_node_refused const& why)
{
    if (std::exchange(finished_, true))
    {
        return;
    }
    core::add(ingress_->counters_
                  ->refused[static_cast<std::size_t>(error_kind::overloaded)]);
    ingress_->counters_->first_node_refusals.add(terms_.route->rank);
    log_first_node_refusal(terms_, history_, why);
    caller_connection_->send_response(ingress_->error_response(
        {error_kind::overloaded,
         "every compared worker would refuse the request"},
        why.retry_after));
    finish();
}

void call::send_offer(balancing::chosen const& choice)
{
    auto const now = core::boot_clock::now();
    auto const& target = *choice.target;
    upstream_ = &target;
    bool const requires_free_slot =
        choice.has_alternative && history_.may_require_free_slot();
    history_.record_offer(target.id, requires_free_slot);
    auto offer = make_offer(terms_, request_, now);
    offer.call =
        core::call_id{ingress_->incarnation_, ++ingress_->last_call_number_};
    offer.upstream = target.id;
    offer.is_repeat = history_.workers_reached() > 0;
    offer.origin = ingress_->settings_.service;
    offer.has_alternative = requires_free_slot;
    offer.rate = ingress_->upstream_scores_.stated_rate(target.id);
    offer.warm_up = warm_up_limits_of(*view_, terms_.service);
    core::add(ingress_->counters_->offers);
    core::add(ingress_->counters_->unresponsive_avoided,
              choice.avoids_unresponsive_node ? 1 : 0);
    ingress_->upstream_scores_.record_sent(target.id, now);
    peers::link_key const link{target.node,
                               offer.body_follows || expects_long_response()
                                   ? peers::traffic_class::long_bodies
                                   : peers::traffic_class::short_messages};
    attempt_.emplace(
        ingress_->links_, link, offer,
        peers::call_handlers{
            [self = shared_from_this()](peers::message m) {
                self->on_message(std::move(m));
            },
            [self = shared_from_this()](peers::connection_loss const& loss) {
                self->on_connection_lost(loss);
            }});
}

void call::on_message(peers::message it)
{
    std::visit([this](auto& m) { on(m); }, it);
}

void call::on(peers::body_request const&)
{
    // The call keeps its copy of the body, since it is offered to another
    // worker if this one rejects it.
    attempt_->send_body(request_.body);
}

void call::on(peers::refused const& it)
{
    record_leaving(it.worker_leaves);
    ingress_->upstream_scores_.record_report(upstream_->id, it.load,
                                             core::boot_clock::now());
    on_attempt_ended(attempt_->result_of(it));
}

void call::record_leaving(bool worker_leaves)
{
    if (worker_leaves)
    {
        ingress_->upstream_scores_.record_leaving(*upstream_,
                                                  core::boot_clock::now());
    }
}

void call::on(peers::answered& it)
{
    record_leaving(it.worker_leaves);
    ingress_->upstream_scores_.record_report(upstream_->id, it.load,
                                             core::boot_clock::now());
    // What concerns the worker's connection may name any field, also the
    // signature, and is not sent on.
    http::strip_connection_headers(it.http_response.headers);
    // The worker's node makes the same check, unless it has an older version.
    if (auto const fault = metadata::find_fault(
            it.http_response,
            ingress_->header_codec_.read_response_metadata(it.http_response)))
    {
        reject_response(*fault);
        return;
    }
    ingress_->upstream_scores_.record_run(upstream_->id, terms_.route->name,
                                          it.run_time);
    ingress_->upstream_scores_.record_response_size(
        terms_.route->name, core::byte_count(it.http_response.body.size()));
    close_attempt(balancing::outcome::answered);
    send_worker_response(std::move(it.http_response), it.run_time);
}

void call::reject_response(http::invalid_response const& why)
{
    ingress_->counters_->invalid_responses.record(why.fault);
    log_invalid_response(terms_, *upstream_, why);
    on_attempt_ended(attempt_failed{error_kind::upstream_failed, why.detail});
}

void call::on(peers::failed const& it)
{
    ingress_->upstream_scores_.record_report(upstream_->id, it.load,
                                             core::boot_clock::now());
    on_attempt_ended(attempt_->result_of(it));
}

void call::on_connection_lost(peers::connection_loss const& loss)
{
    on_attempt_ended(attempt_->result_of(loss));
}

void call::close_attempt(balancing::outcome outcome)
{
    attempt_->close();
    ingress_->upstream_scores_.record_ended(upstream_->id, outcome,
                                            core::boot_clock::now());
    attempt_.reset();
}

void call::abandon_attempt()
{
    attempt_->cancel();
    close_attempt(balancing::outcome::abandoned);
}

void call::leave_unresponsive_node()
{
    auto& scores = ingress_->upstream_scores_;
    if (finished_ || !attempt_ || !scores.is_unresponsive(upstream_->node))
    {
        return;
    }
    auto const now = core::boot_clock::now();
    auto const result = attempt_->result_if_abandoned();
    auto const step = decide_on_unresponsive_node(
        history_.progress(*terms_.route,
                          to_milliseconds(terms_.deadline - now)),
        result.may_have_run);
    auto const* const another = std::get_if<try_another>(&step);
    auto& budget = ingress_->retry_budget_;
    if (another == nullptr || is_poisoned_meanwhile() ||
        (another->uses_retry_budget && !budget.may_take(terms_.service, now)))
    {
        return;
    }
    auto const choice = choose_upstream(now);
    auto const* const next = std::get_if<balancing::chosen>(&choice);
    if (next == nullptr || scores.is_unresponsive(next->target->node))
    {
        return;
    }
    if (another->uses_retry_budget)
    {
        budget.try_take(terms_.service, now);
    }
    abandon_attempt();
    history_.record_end(result);
    history_.record_step(*another, result, *upstream_);
    core::add(ingress_->counters_->unresponsive_moved);
    record_further_attempt(*another);
    send_offer(*next);
}

void call::on_attempt_ended(attempt_result const& result)
{
    close_attempt(outcome_of(result));
    history_.record_end(result);
    auto const remaining =
        to_milliseconds(terms_.deadline - core::boot_clock::now());
    auto const step =
        decide_next_step(history_.progress(*terms_.route, remaining), result);
    history_.record_step(step, result, *upstream_);
    std::visit([&](auto const& it) { apply(it, result); }, step);
}

void call::apply(try_another const& step, attempt_result const& result)
{
    auto const now = core::boot_clock::now();
    if (step.may_reselect_upstream)
    {
        core::add(ingress_->counters_->free_slot_refusals);
        try_next_upstream();
        return;
    }
    if (step.uses_retry_budget &&
        !ingress_->retry_budget_.try_take(terms_.service, now))
    {
        core::add(ingress_->counters_->retries_denied);
        auto const* refused = std::get_if<attempt_refused>(&result);
        send_error(
            refused != nullptr
                ? core::error{refused->kind, "the retry budget is exhausted"}
                : core::error{error_kind::upstream_failed,
                              "the retry budget is exhausted"},
            history_.retry_after());
        return;
    }
    record_further_attempt(step);
    try_next_upstream();
}

void call::record_further_attempt(try_another const& step)
{
    core::add(step.uses_retry_budget ? ingress_->counters_->retries
                                     : ingress_->counters_->redirects);
    log_move(terms_, history_, *upstream_, step.uses_retry_budget);
}

void call::apply(give_up const& step, attempt_result const&)
{
    send_error({step.kind, step.detail}, step.retry_after);
}

void call::start_deadline_timer()
{
    deadline_timer_.expires_after(terms_.deadline + timeout_response_grace -
                                  core::boot_clock::now());
    deadline_timer_.async_wait(
        [weak = weak_from_this()](boost::system::error_code const& ec) {
            if (auto const self = weak.lock(); self && !ec)
            {
                self->on_deadline_passed();
            }
        });
}

void call::on_deadline_passed()
{
    if (finished_)
    {
        return;
    }
    if (attempt_)
    {
        abandon_attempt();
    }
    send_error({error_kind::deadline_passed,
                "the call got no response within its timeout"},
               {});
}

void call::on_caller_disconnected()
{
    if (std::exchange(finished_, true))
    {
        return;
    }
    core::add(ingress_->counters_->callers_disconnected);
    log_disconnect(terms_, upstream_, attempt_.has_value(),
                   core::boot_clock::now());
    if (attempt_)
    {
        abandon_attempt();
    }
    finish();
}

void call::send_worker_response(http::response response,
                                core::milliseconds run_time)
{
    if (std::exchange(finished_, true))
    {
        return;
    }
    auto const took =
        to_milliseconds(core::boot_clock::now() - terms_.arrived_at);
    core::add(ingress_->counters_->answered);
    ingress_->counters_->latency.observe(took);
    log_response(terms_, history_, *upstream_,
                 {response.status, took, run_time});
    response.keep_alive = true;
    response_memory_.release();
    caller_connection_->send_response(std::move(response));
    finish();
}

void call::send_error(core::error const& why, core::milliseconds retry_after)
{
    if (std::exchange(finished_, true))
    {
        return;
    }
    core::error const shown{history_.kind_for_caller(why.kind), why.detail};
    core::add(
        ingress_->counters_->refused[static_cast<std::size_t>(shown.kind)]);
    log_error(terms_, history_, upstream_, view_.get(), shown, retry_after,
              core::boot_clock::now());
    caller_connection_->send_response(
        ingress_->error_response(shown, retry_after));
    finish();
}

void call::finish()
{
    deadline_timer_.cancel();
    response_memory_.release();
    ingress_->open_calls_.erase(this);
    request_ = {};
    caller_connection_.reset();
}

} // namespace yuccafall::ingress
