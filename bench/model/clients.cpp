// Implements the arrivals, the retries and the results of callers' requests.
#include "bench/model/clients.hpp"

#include <algorithm>
#include <cmath>
#include <memory>

#include "bench/model/distributions.hpp"

namespace yuccafall::bench::model {

namespace {

using core::milliseconds;

// A caller waits for at least this long before it retries a request.
constexpr core::duration min_retry_delay = milliseconds(5);

} // namespace

clients::clients(simulation_state& state, caller_nodes& nodes)
    : state_(&state), caller_nodes_(&nodes)
{
    by_second_.resize(
        static_cast<std::size_t>(std::ceil(state_->spec.duration_s)));
}

void clients::start()
{
    for (std::size_t i = 0; i < state_->spec.data_centres.size(); ++i)
    {
        schedule_arrival(i);
    }
}

void clients::measure(simulation_result& out) const
{
    out.by_route = by_route_;
    out.by_second = by_second_;
}

double clients::arrival_rate(std::size_t data_centre_index) const
{
    double rate = state_->spec.requests_per_second /
                  static_cast<double>(state_->spec.data_centres.size());
    constexpr double two_pi = 6.28318530717958648;
    auto const phase = 0.1 + 0.08 * static_cast<double>(data_centre_index);
    rate *= 1 + state_->spec.rate_amplitude *
                    std::sin(two_pi *
                             (state_->elapsed_s() / state_->spec.rate_period_s +
                              phase));
    for (auto const& disturbance : state_->spec.disturbances)
    {
        bool const is_active = state_->elapsed_s() >= disturbance.start_s &&
                               state_->elapsed_s() < disturbance.end_s;
        rate *= is_active ? disturbance.rate_factor : 1;
    }
    return rate;
}

void clients::schedule_arrival(std::size_t data_centre_index)
{
    state_->events.schedule_after(
        from_ms(
            exponential(state_->random, 1000 * state_->spec.mean_clump_size /
                                            arrival_rate(data_centre_index))),
        [this, data_centre_index] {
            if (state_->elapsed_s() >= state_->spec.duration_s)
            {
                return;
            }
            do
            {
                handle_arrival(data_centre_index);
            } while (state_->spec.mean_clump_size > 1 &&
                     state_->random.unit() * state_->spec.mean_clump_size >= 1);
            schedule_arrival(data_centre_index);
        });
}

void clients::handle_arrival(std::size_t data_centre_index)
{
    auto draw = state_->random.unit();
    std::size_t kind_index = 0;
    while (kind_index + 1 < state_->spec.request_kinds.size() &&
           draw >= state_->spec.request_kinds[kind_index].share)
    {
        draw -= state_->spec.request_kinds[kind_index].share;
        ++kind_index;
    }
    auto const& kind = state_->spec.request_kinds[kind_index];
    auto& route_stats = stats_of(kind_index);
    ++route_stats.asked;
    route_stats.possible_worth += kind.worth;
    auto& second_stats =
        by_second_[static_cast<std::size_t>(state_->elapsed_s())];
    ++second_stats.asked;
    second_stats.possible_worth += kind.worth;
    send_attempt({kind_index, data_centre_index,
                  exponential(state_->random, kind.mean_body_bytes),
                  state_->events.now(),
                  static_cast<std::size_t>(state_->elapsed_s()),
                  kind.max_retries});
}

void clients::send_attempt(caller_request const& request)
{
    auto const& kind = state_->spec.request_kinds[request.kind_index];
    auto const remaining =
        kind.caller_timeout - (state_->events.now() - request.first_sent_at);
    auto& caller_node =
        *random_node(state_->nodes_by_data_centre[request.data_centre_index]);
    auto call = std::make_shared<call_state>();
    call->kind_index = request.kind_index;
    call->caller_node = &caller_node;
    call->body_bytes = request.body_bytes;
    call->on_end = [this, request](call_outcome const& outcome) {
        handle_attempt_end(request, outcome);
    };
    auto const transfer_time = caller_node.inbound.transmit(
        state_->events.now(), short_message_bytes + request.body_bytes);
    state_->events.schedule_after(transfer_time, [this, call, remaining] {
        auto const timeout =
            std::chrono::duration_cast<milliseconds>(remaining);
        caller_nodes_->start_call(call, timeout);
    });
}

void clients::handle_attempt_end(caller_request request,
                                 call_outcome const& outcome)
{
    auto const& kind = state_->spec.request_kinds[request.kind_index];
    auto const elapsed = state_->events.now() - request.first_sent_at;
    auto& route_stats = stats_of(request.kind_index);
    auto& second_stats = by_second_[request.second];
    if (outcome.status == call_status::answered)
    {
        bool const in_aim = elapsed <= kind.route.target_latency;
        auto const worth = in_aim ? kind.worth : kind.late_worth;
        for (auto* it : {&route_stats, &second_stats})
        {
            it->in_aim += in_aim ? 1 : 0;
            it->late += in_aim ? 0 : 1;
            it->earned_worth += worth;
        }
        return;
    }
    bool const may_retry = outcome.status == call_status::refused ||
                           routing::is_idempotent(kind.route.kind);
    auto const remaining = kind.caller_timeout - elapsed;
    auto const retry_delay =
        std::max<core::duration>(outcome.retry_after, min_retry_delay);
    if (may_retry && request.retries_left > 0 && retry_delay < remaining / 3)
    {
        --request.retries_left;
        state_->events.schedule_after(
            retry_delay, [this, request] { send_attempt(request); });
        return;
    }
    for (auto* it : {&route_stats, &second_stats})
    {
        it->refused += outcome.status == call_status::refused ? 1 : 0;
        it->failed += outcome.status == call_status::failed ? 1 : 0;
    }
}

request_stats& clients::stats_of(std::size_t kind_index)
{
    return by_route_[state_->spec.request_kinds[kind_index].route.name.value()];
}

node* clients::random_node(std::vector<node*> const& nodes)
{
    return nodes[state_->random.below(nodes.size())];
}

} // namespace yuccafall::bench::model
