// Simulates the nodes, the workers and the callers of a deployment.
#include "bench/model/simulation.hpp"

#include <algorithm>
#include <cmath>
#include <functional>
#include <memory>
#include <utility>

#include "admission/first_node_admission.hpp"
#include "bench/model/distributions.hpp"
#include "bench/model/event_queue.hpp"
#include "bench/model/network.hpp"
#include "bench/model/outages.hpp"
#include "bench/model/simulated_node.hpp"
#include "core/overloaded.hpp"
#include "core/random.hpp"
#include "ingress/next_step.hpp"

namespace yuccafall::bench::model {

namespace {

using core::milliseconds;

// Size on the link of a request head or of a response without content.
constexpr double short_message_bytes = 400;
// A larger body is sent only after the worker's node has accepted the call and
// requested the body.
constexpr double max_inline_body_bytes = 8'192;
// Size on the link of a load report that is sent by itself.
constexpr double load_update_bytes = 100;
// These three are the constants of upstream::load_publisher: the minimum time
// between two load reports, the time since the last offer of a node until which
// it receives them, and the number of free slots of a nearly full worker.
constexpr core::duration min_report_interval = milliseconds(50);
constexpr core::duration report_subscription = milliseconds(3'000);
constexpr std::uint32_t nearly_full_margin = 2;
// A caller waits for at least this long before it retries a request.
constexpr core::duration min_retry_delay = milliseconds(5);

// Returns what the end of an attempt shows of the worker. Null stands for a
// failed run.
balancing::outcome outcome_of(ingress::attempt_refused const* refusal)
{
    if (refusal == nullptr)
    {
        return balancing::outcome::failed;
    }
    return refusal->kind == core::error_kind::no_upstream
               ? balancing::outcome::unreachable
               : balancing::outcome::refused;
}

class simulation
{
public:
    simulation(deployment const& spec, policy const& rules, std::uint64_t seed)
        : spec_(spec), rules_(rules), random_(seed),
          outages_(events_, spec_, rules_, nodes_, upstreams_,
                   {[this](node& at, admission::event const& it) {
                        handle_event(at, it);
                    },
                    [this](node& at, std::shared_ptr<call_state> const& call,
                           ingress::attempt_result const& it) {
                        send_attempt_result(at, call, it);
                    }})
    {
        make_nodes();
        result_.by_second.resize(
            static_cast<std::size_t>(std::ceil(spec_.duration_s)));
    }

    simulation_result run()
    {
        started_at_ = events_.now();
        for (auto& it : nodes_)
        {
            it->history.emplace(started_at_);
        }
        for (std::size_t i = 0; i < spec_.data_centres.size(); ++i)
        {
            schedule_arrival(i);
        }
        outages_.start();
        events_.run();
        result_.mean_wait_ms =
            wait_count_ == 0
                ? 0
                : total_wait_ms_ / static_cast<double>(wait_count_);
        result_.messages = network_.messages();
        result_.megabytes_between_data_centres =
            network_.cross_data_centre_bytes() / 1e6;
        compare_workers();
        outages_.measure(result_);
        return std::move(result_);
    }

private:
    void compare_workers()
    {
        load_ratio_means means;
        auto const windows = static_cast<std::size_t>(
            from_ms(1000 * spec_.duration_s) / shortest_window);
        for (auto const& [service, upstreams] : upstreams_)
        {
            std::vector<load_history const*> histories;
            for (auto const& it : upstreams)
            {
                histories.push_back(&*nodes_by_id_.at(it.id)->history);
            }
            means.add(histories, windows);
        }
        result_.busiest_to_mean = means.result();
    }

    void make_nodes()
    {
        std::size_t node_index = 0;
        for (auto const& service : spec_.services)
        {
            std::size_t index_in_service = 0;
            for (std::size_t data_centre_index = 0;
                 data_centre_index < spec_.data_centres.size();
                 ++data_centre_index)
            {
                for (std::size_t n = 0; n < service.workers[data_centre_index];
                     ++n)
                {
                    add_node(service, data_centre_index, node_index++,
                             index_in_service++);
                }
            }
        }
        for (auto& it : nodes_)
        {
            it->retry_budget.set_nodes(core::node_count(nodes_.size()));
            it->scores.set_nodes(core::node_count(nodes_.size()));
            nodes_by_data_centre_[it->data_centre_index].push_back(it.get());
        }
    }

    void add_node(service const& service, std::size_t data_centre_index,
                  std::size_t node_index, std::size_t index_in_service)
    {
        balancing::choice_settings choice_settings;
        choice_settings.own_data_centre = spec_.data_centres[data_centre_index];
        choice_settings.spreads_load = rules_.spreads_load;
        admission::queue_settings queue_settings;
        queue_settings.slots = spec_.slots;
        queue_settings.body_pacing.link_bandwidth =
            rules_.paces_bodies ? spec_.link_bandwidth
                                : core::bytes_per_second(0);
        core::upstream_id const id("w" + std::to_string(node_index));
        auto it = std::make_unique<node>(
            data_centre_index, id, choice_settings, queue_settings,
            retries::budget_settings{}, spec_.link_bandwidth);
        it->service_time_factor =
            service.service_time_factors[index_in_service %
                                         service.service_time_factors.size()];
        for (auto const& disturbance : spec_.disturbances)
        {
            it->is_slowed =
                it->is_slowed ||
                random_.unit() < disturbance.slow_worker_probability;
        }
        balancing::upstream upstream;
        upstream.id = id;
        upstream.data_centre = spec_.data_centres[data_centre_index];
        upstream.slots = spec_.slots;
        upstreams_[service.name].push_back(upstream);
        nodes_by_id_[id] = it.get();
        nodes_.push_back(std::move(it));
    }

    double elapsed_s() const
    {
        return to_ms(events_.now() - started_at_) / 1000;
    }

    // The functions below simulate the clients, which send requests to the
    // nodes of their data centre.

    // Returns the current rate of callers' requests in a data centre, in
    // requests per second. The rates of the data centres differ in phase.
    double arrival_rate(std::size_t data_centre_index) const
    {
        double rate = spec_.requests_per_second /
                      static_cast<double>(spec_.data_centres.size());
        constexpr double two_pi = 6.28318530717958648;
        auto const phase = 0.1 + 0.08 * static_cast<double>(data_centre_index);
        rate *= 1 + spec_.rate_amplitude *
                        std::sin(two_pi *
                                 (elapsed_s() / spec_.rate_period_s + phase));
        for (auto const& disturbance : spec_.disturbances)
        {
            bool const is_active = elapsed_s() >= disturbance.start_s &&
                                   elapsed_s() < disturbance.end_s;
            rate *= is_active ? disturbance.rate_factor : 1;
        }
        return rate;
    }

    void schedule_arrival(std::size_t data_centre_index)
    {
        events_.schedule_after(
            from_ms(exponential(random_, 1000 * spec_.mean_clump_size /
                                             arrival_rate(data_centre_index))),
            [this, data_centre_index] {
                if (elapsed_s() >= spec_.duration_s)
                {
                    return;
                }
                do
                {
                    handle_arrival(data_centre_index);
                } while (spec_.mean_clump_size > 1 &&
                         random_.unit() * spec_.mean_clump_size >= 1);
                schedule_arrival(data_centre_index);
            });
    }

    void handle_arrival(std::size_t data_centre_index)
    {
        auto draw = random_.unit();
        std::size_t kind_index = 0;
        while (kind_index + 1 < spec_.request_kinds.size() &&
               draw >= spec_.request_kinds[kind_index].share)
        {
            draw -= spec_.request_kinds[kind_index].share;
            ++kind_index;
        }
        auto const& kind = spec_.request_kinds[kind_index];
        auto& route_stats = stats_of(kind_index);
        ++route_stats.asked;
        route_stats.possible_worth += kind.worth;
        auto& second_stats =
            result_.by_second[static_cast<std::size_t>(elapsed_s())];
        ++second_stats.asked;
        second_stats.possible_worth += kind.worth;
        send_attempt({kind_index, data_centre_index,
                      exponential(random_, kind.mean_body_bytes), events_.now(),
                      static_cast<std::size_t>(elapsed_s()), kind.max_retries});
    }

    // State of a caller's request over all its attempts.
    struct caller_request
    {
        std::size_t kind_index;
        std::size_t data_centre_index;
        double body_bytes;
        core::instant first_sent_at;
        // Index into simulation_result::by_second.
        std::size_t second;
        std::uint32_t retries_left;
    };

    void send_attempt(caller_request const& request)
    {
        auto const& kind = spec_.request_kinds[request.kind_index];
        auto const remaining =
            kind.caller_timeout - (events_.now() - request.first_sent_at);
        auto& caller_node =
            *random_node(nodes_by_data_centre_[request.data_centre_index]);
        auto call = std::make_shared<call_state>();
        call->kind_index = request.kind_index;
        call->caller_node = &caller_node;
        call->body_bytes = request.body_bytes;
        call->on_end = [this, request](call_outcome const& outcome) {
            handle_attempt_end(request, outcome);
        };
        auto const transfer_time = caller_node.inbound.transmit(
            events_.now(), short_message_bytes + request.body_bytes);
        events_.schedule_after(transfer_time, [this, call, remaining] {
            auto const timeout =
                std::chrono::duration_cast<milliseconds>(remaining);
            start_call(call, timeout);
        });
    }

    void handle_attempt_end(caller_request request, call_outcome const& outcome)
    {
        auto const& kind = spec_.request_kinds[request.kind_index];
        auto const elapsed = events_.now() - request.first_sent_at;
        auto& route_stats = stats_of(request.kind_index);
        auto& second_stats = result_.by_second[request.second];
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
        if (may_retry && request.retries_left > 0 &&
            retry_delay < remaining / 3)
        {
            --request.retries_left;
            events_.schedule_after(retry_delay,
                                   [this, request] { send_attempt(request); });
            return;
        }
        for (auto* it : {&route_stats, &second_stats})
        {
            it->refused += outcome.status == call_status::refused ? 1 : 0;
            it->failed += outcome.status == call_status::failed ? 1 : 0;
        }
    }

    request_stats& stats_of(std::size_t kind_index)
    {
        return result_
            .by_route[spec_.request_kinds[kind_index].route.name.value()];
    }

    node* random_node(std::vector<node*> const& nodes)
    {
        return nodes[random_.below(nodes.size())];
    }

    // The functions below simulate a node that has received a call and offers
    // it to workers.

    void start_call(std::shared_ptr<call_state> const& call,
                    milliseconds timeout)
    {
        auto const& route = spec_.request_kinds[call->kind_index].route;
        auto const now = events_.now();
        call->deadline = now + std::min(timeout, route.timeout);
        call->target_time =
            now + route.target_latency -
            call->caller_node->caller_timeouts.time_since_first_request(
                route.name, timeout);
        call->caller_node->retry_budget.record_request(
            route.targets.front().service, now);
        offer_call(call);
    }

    // Offers the call to an upstream that the scores select, or refuses the
    // call if there is none.
    void offer_call(std::shared_ptr<call_state> const& call)
    {
        auto const& route = spec_.request_kinds[call->kind_index].route;
        auto& caller_node = *call->caller_node;
        balancing::call_traits const traits{
            route.name,
            core::byte_count(static_cast<std::uint64_t>(call->body_bytes)),
            call->body_bytes > max_inline_body_bytes,
            call->nested,
            network_.is_paced(
                spec_.request_kinds[call->kind_index].response_bytes),
            route.rank};
        auto const choice = caller_node.scores.choose(
            upstreams_.at(route.targets.front().service), call->tried_upstreams,
            traits, events_.now(), random_);
        auto const* chosen = std::get_if<balancing::chosen>(&choice);
        if (chosen == nullptr)
        {
            end_call(*call, {call_status::refused, call->retry_after});
            return;
        }
        if (auto const retry_after = first_node_retry_delay(*call, *chosen))
        {
            end_call(*call, {call_status::refused, *retry_after});
            return;
        }
        bool const wants_free_slot =
            rules_.prefers_free_slots && chosen->has_alternative &&
            call->offers_for_free_slot < ingress::max_offers_for_free_slot;
        call->offers_for_free_slot += wants_free_slot ? 1 : 0;
        call->tried_upstreams.insert(chosen->target->id);
        caller_node.scores.record_sent(chosen->target->id, events_.now());
        auto& worker_node = *nodes_by_id_.at(chosen->target->id);
        auto const bytes =
            short_message_bytes +
            (call->body_bytes > max_inline_body_bytes ? 0 : call->body_bytes);
        send(caller_node, worker_node, bytes,
             [this, call, &worker_node, wants_free_slot] {
                 handle_offer(worker_node, call, wants_free_slot);
             });
    }

    // Returns the retry delay of a call that is refused at the caller's node,
    // or nothing if the call is offered.
    std::optional<milliseconds>
    first_node_retry_delay(call_state const& call,
                           balancing::chosen const& choice)
    {
        if (!rules_.refuses_at_first_node || call.workers_reached > 0)
        {
            return std::nullopt;
        }
        auto const decision = admission::decide_first_node_admission(
            {call.nested, call.deadline, call.target_time}, choice.candidates,
            events_.now(), random_);
        auto const* refused =
            std::get_if<admission::first_node_refused>(&decision);
        result_.refused_at_first_node += refused == nullptr ? 0 : 1;
        return refused == nullptr ? std::nullopt
                                  : std::optional(refused->retry_after);
    }

    void end_call(call_state& call, call_outcome const& outcome)
    {
        auto const on_end = std::move(call.on_end);
        call.on_end = nullptr;
        if (on_end)
        {
            on_end(outcome);
        }
    }

    // Handles the end of an attempt that brought no response.
    void handle_attempt_end(std::shared_ptr<call_state> const& call,
                            node& worker_node,
                            ingress::attempt_result const& result,
                            balancing::load_report const& load)
    {
        auto const now = events_.now();
        auto const& route = spec_.request_kinds[call->kind_index].route;
        auto const* refusal = std::get_if<ingress::attempt_refused>(&result);
        auto const status =
            refusal == nullptr ? call_status::failed : call_status::refused;
        call->caller_node->scores.record_report(worker_node.id, load, now);
        call->caller_node->scores.record_ended(worker_node.id,
                                               outcome_of(refusal), now);
        call->workers_reached += refusal == nullptr ? 1 : 0;
        ingress::call_progress progress;
        progress.repeatability = route.kind;
        progress.max_attempts = route.attempts;
        progress.workers_reached = call->workers_reached;
        progress.redirects = call->redirects;
        progress.remaining =
            std::chrono::duration_cast<milliseconds>(call->deadline - now);
        progress.expected_duration = route.target_latency / 2;
        progress.retry_after = call->retry_after;
        std::visit(core::overloaded{
                       [&](ingress::try_another const& step) {
                           if (step.uses_retry_budget &&
                               !call->caller_node->retry_budget.try_take(
                                   route.targets.front().service, now))
                           {
                               end_call(*call, {status, call->retry_after});
                               return;
                           }
                           if (step.may_reselect_upstream)
                           {
                               call->tried_upstreams.erase(worker_node.id);
                           }
                           else if (step.avoid_data_centre)
                           {
                               avoid_data_centre(*call, worker_node);
                           }
                           else if (refusal != nullptr)
                           {
                               ++call->redirects;
                               call->retry_after = refusal->retry_after;
                           }
                           offer_call(call);
                       },
                       [&](ingress::give_up const& step) {
                           end_call(*call, {status, step.retry_after});
                       }},
                   ingress::decide_next_step(progress, result));
    }

    void avoid_data_centre(call_state& call, node const& worker_node)
    {
        for (auto const* it :
             nodes_by_data_centre_[worker_node.data_centre_index])
        {
            call.tried_upstreams.insert(it->id);
        }
    }

    // The functions below simulate a worker and the node beside it.

    void handle_offer(node& worker_node,
                      std::shared_ptr<call_state> const& call,
                      bool has_alternative)
    {
        auto const now = events_.now();
        if (now < worker_node.unreachable_until)
        {
            send_attempt_result(
                worker_node, call,
                ingress::attempt_refused{core::error_kind::no_upstream,
                                         unreachable_backoff});
            return;
        }
        if (worker_node.warm_up)
        {
            worker_node.warm_up->record_offer();
        }
        core::call_id const id{core::incarnation(1), ++last_call_number_};
        auto const& route = spec_.request_kinds[call->kind_index].route;
        admission::job job;
        job.call = id;
        job.route = route.name;
        job.rank = route.rank;
        job.nested = call->nested && rules_.puts_nested_first;
        job.has_alternative = has_alternative;
        job.deadline = call->deadline;
        job.target_time = call->target_time;
        job.awaits_body = call->body_bytes > max_inline_body_bytes;
        job.body_size = core::byte_count(
            job.awaits_body && &worker_node != call->caller_node
                ? static_cast<std::uint64_t>(call->body_bytes)
                : 0);
        job.link_backlog = worker_node.response_pacer.backlog();
        worker_node.offered_calls.emplace(
            id, offered_call{call, has_alternative, now, {}});
        worker_node.subscribers[call->caller_node->id] = now;
        worker_node.history->record_arrival(now);
        handle_event(worker_node, admission::call_offered{job});
        count_offer(worker_node, *call, id);
    }

    // Counts whether the call waits or was refused beside a free worker.
    void count_offer(node const& worker_node, call_state const& call,
                     core::call_id const& id)
    {
        ++result_.offers;
        auto const found = worker_node.offered_calls.find(id);
        bool const refused = found == worker_node.offered_calls.end();
        if (!refused && found->second.started_at != core::instant{})
        {
            return;
        }
        auto const& service =
            spec_.request_kinds[call.kind_index].route.targets.front().service;
        auto const& upstreams = upstreams_.at(service);
        bool const has_free_worker = std::any_of(
            upstreams.begin(), upstreams.end(),
            [&](balancing::upstream const& it) {
                auto const& other = *nodes_by_id_.at(it.id);
                return &other != &worker_node &&
                       other.data_centre_index ==
                           call.caller_node->data_centre_index &&
                       other.queue.waiting() == 0 &&
                       other.queue.running() < other.queue.slots().value();
            });
        result_.waits_beside_free_worker += has_free_worker && !refused ? 1 : 0;
        result_.refusals_beside_free_worker +=
            has_free_worker && refused ? 1 : 0;
    }

    // Sends the load of the worker by the rules of upstream::load_publisher.
    void publish_load(node& worker_node)
    {
        auto const now = events_.now();
        auto const open_calls = static_cast<std::uint32_t>(
            worker_node.queue.running() + worker_node.queue.waiting());
        worker_node.history->record_open_calls(open_calls, now);
        auto const nearly_full =
            worker_node.queue.slots().value() - nearly_full_margin;
        auto const load = make_load_report(worker_node);
        auto const rate = core::limit_of(load.cold_rate);
        auto const last_rate =
            core::limit_of(worker_node.last_published_cold_rate);
        bool const differs =
            open_calls != worker_node.last_published_open_calls ||
            rate != last_rate;
        bool const is_nearly_full =
            std::max(open_calls, worker_node.last_published_open_calls) >=
                nearly_full ||
            rate || last_rate;
        if (!spec_.publishes_load || worker_node.report_scheduled || !differs ||
            !is_nearly_full)
        {
            return;
        }
        auto const next = worker_node.last_published_at + min_report_interval;
        if (now < next)
        {
            worker_node.report_scheduled = true;
            events_.schedule_at(next, [this, &worker_node] {
                worker_node.report_scheduled = false;
                publish_load(worker_node);
            });
            return;
        }
        worker_node.last_published_open_calls = open_calls;
        worker_node.last_published_cold_rate = load.cold_rate;
        worker_node.last_published_at = now;
        for (auto const& [id, last_offer] : worker_node.subscribers)
        {
            auto* to = nodes_by_id_.at(id);
            if (to == &worker_node || now - last_offer > report_subscription)
            {
                continue;
            }
            send(worker_node, *to, load_update_bytes,
                 [this, to, load, from = worker_node.id] {
                     to->scores.record_report(from, load, events_.now());
                 });
        }
    }

    // Passes an event to the queue of the node, carries out the actions that
    // follow and schedules the queue's next timer event.
    void handle_event(node& worker_node, admission::event const& event)
    {
        auto const actions = worker_node.queue.handle(event, events_.now());
        for (auto const& action : actions)
        {
            std::visit([&](auto const& it) { execute(worker_node, it); },
                       action);
        }
        if (worker_node.warm_up)
        {
            worker_node.warm_up->set_calls_wait(worker_node.queue.waiting() >
                                                0);
        }
        publish_load(worker_node);
        auto const next_due = worker_node.queue.next_timer();
        if (next_due &&
            (!worker_node.next_timer || *next_due < *worker_node.next_timer))
        {
            worker_node.next_timer =
                std::max(*next_due, events_.now() + milliseconds(1));
            events_.schedule_at(*worker_node.next_timer, [this, &worker_node] {
                worker_node.next_timer.reset();
                handle_event(worker_node, admission::timer_expired{});
            });
        }
    }

    // Simulated workers report no load, so that no call is found to be lost.
    void execute(node&, admission::call_lost const&) {}

    void execute(node& worker_node, admission::request_body const& action)
    {
        auto const call = worker_node.offered_calls.at(action.call).call;
        send(worker_node, *call->caller_node, short_message_bytes,
             [this, &worker_node, call, id = action.call] {
                 send(*call->caller_node, worker_node, call->body_bytes,
                      [this, &worker_node, id] {
                          handle_event(worker_node,
                                       admission::body_arrived{id});
                      });
             });
    }

    void execute(node& worker_node, admission::refuse_call const& action)
    {
        auto const found = worker_node.offered_calls.find(action.call);
        auto const offered = found->second;
        worker_node.offered_calls.erase(found);
        ingress::attempt_refused const refusal{action.kind, action.retry_after,
                                               false, offered.has_alternative};
        send_attempt_result(worker_node, offered.call, refusal);
    }

    // Tells the node that offered the call that it got no response.
    void send_attempt_result(node& worker_node,
                             std::shared_ptr<call_state> const& call,
                             ingress::attempt_result const& result)
    {
        send(worker_node, *call->caller_node, short_message_bytes,
             [this, &worker_node, call, result,
              load = make_load_report(worker_node)] {
                 handle_attempt_end(call, worker_node, result, load);
             });
    }

    void execute(node& worker_node, admission::start_call const& action)
    {
        auto& offered = worker_node.offered_calls.at(action.call);
        offered.started_at = events_.now();
        total_wait_ms_ += to_ms(offered.started_at - offered.offered_at);
        ++wait_count_;
        if (!outages_.reach_worker(worker_node, action.call))
        {
            return;
        }
        auto const& kind = spec_.request_kinds[offered.call->kind_index];
        auto const service_time_ms =
            lognormal(random_, kind.mean_service_time_ms,
                      kind.service_time_sigma) *
            worker_node.service_time_factor * current_slowdown(worker_node) *
            (worker_node.worker
                 ? worker_node.worker->service_time_factor(events_.now())
                 : 1);
        std::size_t nested_count = 0;
        for (auto const& calls : kind.calls)
        {
            nested_count = random_.unit() < calls.probability
                               ? (calls.together ? 1 : calls.count)
                               : 0;
        }
        run_part(worker_node, action.call, service_time_ms, nested_count);
    }

    // Runs a call until its next nested call, or until its end if no nested
    // calls are left. Nested calls that are made together count as one. The
    // remaining service time is split into equal parts: one before each nested
    // call that is left and one after the last.
    void run_part(node& worker_node, core::call_id const& id,
                  double remaining_ms, std::size_t nested_left)
    {
        auto const part_ms =
            remaining_ms / static_cast<double>(nested_left + 1);
        events_.schedule_after(from_ms(part_ms), [this, &worker_node, id,
                                                  part_ms, nested_left] {
            auto const found = worker_node.offered_calls.find(id);
            if (found == worker_node.offered_calls.end())
            {
                // The worker has crashed meanwhile.
                return;
            }
            auto const& offered = found->second;
            if (nested_left == 0 || events_.now() >= offered.call->deadline)
            {
                end_run(worker_node, id,
                        events_.now() < offered.call->deadline);
                return;
            }
            auto const& calls =
                spec_.request_kinds[offered.call->kind_index].calls.front();
            auto const group = std::make_shared<nested_group>();
            group->pending = calls.together ? calls.count : 1;
            for (auto n = group->pending; n > 0; --n)
            {
                make_nested_call(worker_node, id, group, part_ms, nested_left);
            }
        });
    }

    // Nested calls that are made at the same time.
    struct nested_group
    {
        std::size_t pending = 0;
        bool failed = false;
    };

    void make_nested_call(node& worker_node, core::call_id const& id,
                          std::shared_ptr<nested_group> const& group,
                          double part_ms, std::size_t nested_left)
    {
        auto const& offered = worker_node.offered_calls.at(id);
        auto const kind_index = spec_.request_kinds[offered.call->kind_index]
                                    .calls.front()
                                    .kind_index;
        auto call = std::make_shared<call_state>();
        call->kind_index = kind_index;
        call->caller_node = &worker_node;
        call->nested = true;
        ++result_.nested;
        auto const deadline =
            events_.now() + spec_.request_kinds[kind_index].caller_timeout;
        call->on_end = [this, &worker_node, id, group, part_ms, nested_left,
                        deadline](call_outcome const& outcome) {
            bool const succeeded = outcome.status == call_status::answered &&
                                   events_.now() <= deadline;
            result_.nested_failed += succeeded ? 0 : 1;
            group->failed = group->failed || !succeeded;
            if (--group->pending > 0)
            {
                return;
            }
            if (group->failed)
            {
                end_run(worker_node, id, false);
                return;
            }
            run_part(worker_node, id,
                     part_ms * static_cast<double>(nested_left),
                     nested_left - 1);
        };
        start_call(call, spec_.request_kinds[kind_index].caller_timeout);
    }

    void end_run(node& worker_node, core::call_id const& id, bool succeeded)
    {
        auto const found = worker_node.offered_calls.find(id);
        if (found == worker_node.offered_calls.end())
        {
            // The worker has crashed meanwhile.
            return;
        }
        auto const offered = found->second;
        worker_node.offered_calls.erase(found);
        auto const run_time = std::chrono::duration_cast<milliseconds>(
            events_.now() - offered.started_at);
        if (succeeded && worker_node.warm_up)
        {
            worker_node.warm_up->record_answered_run(
                {spec_.request_kinds[offered.call->kind_index].route.name,
                 events_.now() - offered.started_at});
        }
        handle_event(worker_node,
                     admission::run_ended{
                         id,
                         succeeded ? admission::run_result::completed
                                   : admission::run_result::incomplete,
                         core::byte_count(response_size_for_queue(
                             spec_.request_kinds[offered.call->kind_index]))});
        auto const& kind = spec_.request_kinds[offered.call->kind_index];
        auto const bytes =
            short_message_bytes + (succeeded ? kind.response_bytes : 0);
        network_.send_response(
            worker_node, *offered.call->caller_node, bytes,
            [this, &worker_node, call = offered.call, run_time, succeeded,
             load = make_load_report(worker_node)] {
                auto& scores = call->caller_node->scores;
                scores.record_response_size(
                    spec_.request_kinds[call->kind_index].route.name,
                    core::byte_count(static_cast<std::uint64_t>(
                        spec_.request_kinds[call->kind_index].response_bytes)));
                scores.record_report(worker_node.id, load, events_.now());
                scores.record_run(
                    worker_node.id,
                    spec_.request_kinds[call->kind_index].route.name, run_time);
                scores.record_ended(worker_node.id,
                                    balancing::outcome::answered,
                                    events_.now());
                end_call(*call, {succeeded ? call_status::answered
                                           : call_status::failed,
                                 {}});
            });
    }

    balancing::load_report make_load_report(node const& worker_node) const
    {
        balancing::load_report it;
        auto const& queue = worker_node.queue;
        it.wait_for_nested = queue.wait_for_nested(events_.now());
        it.wait_at_back = queue.wait_at_back(events_.now());
        it.running =
            core::slot_count(static_cast<std::uint32_t>(queue.running()));
        it.waiting =
            core::queue_length(static_cast<std::uint32_t>(queue.waiting()));
        it.slots = queue.slots();
        it.wait_for_bodies = std::max(queue.wait_for_bodies(),
                                      std::chrono::duration_cast<milliseconds>(
                                          worker_node.response_pacer.backlog() +
                                          queue.expected_response_time()));
        it.body_rate = queue.body_rate();
        it.waits_by_rank = queue.waits_by_rank(events_.now());
        if (rules_.reports_cold_rate)
        {
            it.cold_rate = queue.cold_rate();
        }
        return it;
    }

    // Returns the factor by which noise and disturbances currently lengthen the
    // service times of the worker. Starts a new spell of noise if the last one
    // has ended.
    double current_slowdown(node& worker_node)
    {
        auto const now = events_.now();
        if (now >= worker_node.noise_spell_ends_at)
        {
            worker_node.is_noisy = random_.unit() < spec_.noise_probability;
            worker_node.noise_spell_ends_at =
                now + from_ms(exponential(random_, spec_.mean_noise_spell_ms));
        }
        double slowdown = worker_node.is_noisy ? spec_.noise_factor : 1;
        for (auto const& disturbance : spec_.disturbances)
        {
            bool const is_active = elapsed_s() >= disturbance.start_s &&
                                   elapsed_s() < disturbance.end_s;
            slowdown *= is_active && worker_node.is_slowed
                            ? disturbance.slowdown_factor
                            : 1;
        }
        return slowdown;
    }

    // Without the rule, the queue does not learn that responses are long.
    std::uint64_t response_size_for_queue(request_kind const& kind) const
    {
        return network_.is_paced(kind.response_bytes)
                   ? static_cast<std::uint64_t>(kind.response_bytes)
                   : 0;
    }

    void send(node& sender, node& receiver, double bytes,
              std::function<void()> on_arrival)
    {
        network_.send(sender, receiver, bytes, std::move(on_arrival));
    }

    deployment spec_;
    policy rules_;
    core::random_source random_;
    event_queue events_;
    network network_{events_, spec_, rules_};
    core::instant started_at_;
    std::vector<std::unique_ptr<node>> nodes_;
    std::map<core::upstream_id, node*> nodes_by_id_;
    std::map<std::size_t, std::vector<node*>> nodes_by_data_centre_;
    upstream_lists upstreams_;
    outages outages_;
    std::uint64_t last_call_number_ = 0;
    double total_wait_ms_ = 0;
    std::uint64_t wait_count_ = 0;
    simulation_result result_;
};

} // namespace

request_stats simulation_result::total() const
{
    request_stats out;
    for (auto const& [route, it] : by_route)
    {
        out.asked += it.asked;
        out.in_aim += it.in_aim;
        out.late += it.late;
        out.refused += it.refused;
        out.failed += it.failed;
        out.possible_worth += it.possible_worth;
        out.earned_worth += it.earned_worth;
    }
    return out;
}

simulation_result run_simulation(deployment const& spec, policy const& rules,
                                 std::uint64_t seed)
{
    return simulation(spec, rules, seed).run();
}

} // namespace yuccafall::bench::model
