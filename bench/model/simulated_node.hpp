// The state of a simulated node, of the worker beside it and of the calls that
// they handle.
#ifndef YUCCAFALL_BENCH_MODEL_SIMULATED_NODE_HPP
#define YUCCAFALL_BENCH_MODEL_SIMULATED_NODE_HPP

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "admission/slot_queue.hpp"
#include "balancing/upstream_scores.hpp"
#include "bench/model/cold_worker.hpp"
#include "bench/model/distributions.hpp"
#include "bench/model/load_measures.hpp"
#include "bench/model/owner_warm_up.hpp"
#include "ingress/caller_timeouts.hpp"
#include "retries/retry_budget.hpp"
#include "transport/link_pacer.hpp"

namespace yuccafall::bench::model {

// One direction of a VM's network link. It sends messages one after the other,
// in the order in which they are queued.
class link_direction
{
public:
    explicit link_direction(core::bytes_per_second rate) : rate_(rate) {}

    // Queues a message and returns the time until its last byte has been sent.
    core::duration transmit(core::instant now, double bytes)
    {
        last_byte_sent_at_ =
            std::max(last_byte_sent_at_, now) +
            from_ms(1000 * bytes / static_cast<double>(rate_.value()));
        return last_byte_sent_at_ - now;
    }

private:
    core::bytes_per_second rate_;
    core::instant last_byte_sent_at_{};
};

enum class call_status
{
    answered,
    refused,
    failed,
};

struct call_outcome
{
    call_status status = call_status::failed;
    core::milliseconds retry_after{0};
};

struct node;

// A long response that the link sends in parts.
struct paced_response
{
    double remaining_bytes = 0;
    node* receiver = nullptr;
    std::function<void()> on_arrival;
};

// State of a call at the caller's node, which received it from a client or from
// its own worker.
struct call_state
{
    std::size_t kind_index = 0;
    node* caller_node = nullptr;
    double body_bytes = 0;
    core::instant deadline;
    // Time at which the call exceeds the target latency of its route.
    core::instant target_time;
    bool nested = false;
    // Upstreams to which the call must not be offered again.
    std::set<core::upstream_id> tried_upstreams;
    std::uint32_t workers_reached = 0;
    std::uint32_t redirects = 0;
    std::uint32_t offers_for_free_slot = 0;
    core::milliseconds retry_after{0};
    std::function<void(call_outcome)> on_end;
};

// State of a call at the node beside the worker to which it was offered.
struct offered_call
{
    std::shared_ptr<model::call_state> call;
    bool has_alternative = false;
    core::instant offered_at;
    core::instant started_at;
};

// A node and the worker beside it.
struct node
{
    node(std::size_t own_data_centre, core::upstream_id own_id,
         balancing::choice_settings choice_settings,
         admission::queue_settings const& queue_settings,
         retries::budget_settings const& budget_settings,
         core::bytes_per_second link_bandwidth)
        : data_centre_index(own_data_centre), id(std::move(own_id)),
          scores(std::move(choice_settings)), queue(queue_settings),
          retry_budget(budget_settings), inbound(link_bandwidth),
          outbound(link_bandwidth),
          response_pacer(make_pacer_settings(link_bandwidth))
    {}

    static transport::link_pacer_settings
    make_pacer_settings(core::bytes_per_second link_bandwidth)
    {
        transport::link_pacer_settings it;
        it.bandwidth = link_bandwidth;
        return it;
    }

    // Index into deployment::data_centres.
    std::size_t data_centre_index;
    core::upstream_id id;
    balancing::upstream_scores scores;
    ingress::caller_timeouts caller_timeouts;
    admission::slot_queue queue;
    retries::retry_budget retry_budget;
    link_direction inbound;
    link_direction outbound;
    transport::link_pacer response_pacer;
    std::map<transport::link_ticket, paced_response> paced_responses;
    // True while an event is scheduled for the next part of a response.
    bool part_scheduled = false;
    std::map<core::call_id, offered_call> offered_calls;
    // The nodes that receive load reports, and the time of their last offer.
    std::map<core::upstream_id, core::instant> subscribers;
    std::uint32_t last_published_open_calls = 0;
    core::stated_rate last_published_cold_rate{};
    core::instant last_published_at{};
    // True while an event is scheduled for the next load report.
    bool report_scheduled = false;
    std::optional<load_history> history;
    // Time of the earliest timer event that is scheduled for the queue.
    std::optional<core::instant> next_timer;
    // Service time of the worker without disturbances and noise, relative to
    // that of the request kind.
    double service_time_factor = 1;
    // Both are present if the services of the deployment have a cold rate. The
    // owner's part is absent if the nodes do not keep to it.
    std::optional<cold_worker> worker;
    std::unique_ptr<owner_warm_up> warm_up;
    // Offers are refused until then, because the worker was unreachable.
    core::instant unreachable_until{};
    // The worker is slow during disturbances that slow workers down.
    bool is_slowed = false;
    // Neighbouring VMs slow the worker down during the current spell.
    bool is_noisy = false;
    core::instant noise_spell_ends_at{};
};

// The nodes of a deployment, and the workers of each service that may be
// chosen.
using node_list = std::vector<std::unique_ptr<node>>;
using upstream_lists =
    std::map<core::service_name, std::vector<balancing::upstream>>;

// The constant of upstream::worker_owner: offers are refused for this long
// after the worker was unreachable.
constexpr core::milliseconds unreachable_backoff{250};

} // namespace yuccafall::bench::model

#endif
