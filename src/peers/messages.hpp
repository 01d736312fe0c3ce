// Messages that nodes exchange to forward calls to workers.
//
// A caller is the client or the worker that sends a request, and its node is
// the one that received the request from it. The handling of a request is a
// call. The caller's node offers the call to the node beside the chosen worker:
// it sends an `offer`, which asks that node to run the call on its worker. That
// node either refuses the call, or runs it and sends the complete response.
#ifndef YUCCAFALL_PEERS_MESSAGES_HPP
#define YUCCAFALL_PEERS_MESSAGES_HPP

#include <optional>
#include <string>
#include <variant>

#include "balancing/upstream_scores.hpp"
#include "core/error.hpp"
#include "core/ids.hpp"
#include "core/units.hpp"
#include "core/warm_up_limits.hpp"
#include "http/message.hpp"
#include "routing/configuration.hpp"

namespace yuccafall::peers {

// Asks the node beside a worker to run a call.
struct offer
{
    core::call_id call;
    core::upstream_id upstream;
    core::request_id request_id;
    core::route_name route;
    routing::repeatability repeatability =
        routing::repeatability::non_idempotent;
    core::rank rank;
    // Whether a worker made this request while it was running another one.
    bool nested = false;
    // Time until the deadline, counted from the sending of this message. A
    // duration is sent because the receiver's clock may differ.
    core::milliseconds deadline_remaining{0};
    // Time until the call exceeds the target latency of its route, or zero if
    // the target can no longer be met.
    core::milliseconds target_latency_remaining{0};
    // The service beside the node that received the request from its caller.
    core::service_name origin;
    // Whether an earlier attempt of the call may have reached a worker, even if
    // the worker rejected it.
    bool is_repeat = false;
    // Whether the caller's node believes that another worker has a free slot.
    // The receiver should then refuse the call at once rather than queue it.
    bool has_alternative = false;
    // Whether the body is sent separately, after the receiver has asked for it.
    bool body_follows = false;
    // What the caller's node knows of the worker's rate. A receiver that has
    // restarted knows less, and keeps to it until the worker responds.
    core::stated_rate rate;
    // The cold rate of the upstream's service as the caller's node knows it. A
    // receiver that has restarted may not have a configuration yet.
    std::optional<core::warm_up_limits> warm_up;
    // Size of the whole body, whether this message contains it or not.
    core::byte_count body_size;
    // The request without the hop-by-hop fields of the caller's connection.
    http::request http_request;
};

// Asks for the body of a call that was offered with body_follows set.
struct body_request
{
    core::call_id call;
};

struct body_data
{
    core::call_id call;
    std::string bytes;
};

// The caller's node no longer needs the response. A queued call is removed, and
// a running call is aborted if it may be repeated.
struct cancel
{
    core::call_id call;
};

// The call was not run and will not be run.
struct refused
{
    core::call_id call;
    core::error_kind kind = core::error_kind::overloaded;
    core::milliseconds retry_after{0};
    // Whether the request was sent to the worker itself, which the caller's
    // node counts in call_progress::workers_reached.
    bool reached_worker = false;
    // Whether the worker has stated that it leaves.
    bool worker_leaves = false;
    balancing::load_report load;
};

// The worker's response to the call.
struct answered
{
    core::call_id call;
    http::response http_response;
    // How long the call occupied a slot of the worker.
    core::milliseconds run_time{0};
    // Whether the worker has stated that it leaves.
    bool worker_leaves = false;
    balancing::load_report load;
};

// The call was sent to the worker, but no response can be returned.
struct failed
{
    core::call_id call;
    core::error_kind kind = core::error_kind::upstream_failed;
    std::string detail;
    balancing::load_report load;
};

// Sent by the node beside a worker when the worker's load changes, to the nodes
// that have recently offered calls to the worker.
struct load_update
{
    core::upstream_id upstream;
    balancing::load_report load;
};

// Asks the receiver to confirm with a pong that the connection still works.
struct ping
{};
// Sent in reply to a ping.
struct pong
{};

using message = std::variant<offer, body_request, body_data, cancel, refused,
                             answered, failed, load_update, ping, pong>;

} // namespace yuccafall::peers

#endif
