// Messages that nodes exchange to forward calls to workers.
//
// The caller's node offers a call to the node beside the chosen worker. That
// node either refuses the call, or runs it and sends the complete response.
#ifndef YUCCAFALL_PEERS_MESSAGES_HPP
#define YUCCAFALL_PEERS_MESSAGES_HPP

#include <string>
#include <variant>

#include "balancing/upstream_scores.hpp"
#include "core/error.hpp"
#include "core/ids.hpp"
#include "core/units.hpp"
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
    core::milliseconds remaining{0};
    // Time until the target latency has passed, or zero if it can no longer be
    // met.
    core::milliseconds target_latency_remaining{0};
    // The service beside the node that received the request from its caller.
    core::service_name origin;
    // Whether an earlier attempt of the call may have been sent to a worker.
    bool may_have_run = false;
    // Whether another worker is believed to have a free slot. The call is then
    // better refused at once than queued.
    bool has_alternative = false;
    // Whether the body is sent separately, after the receiver has asked for it.
    bool body_follows = false;
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
    // Whether the request was sent to the worker itself, which counts as an
    // arrival at that worker.
    bool reached_worker = false;
    balancing::load_report load;
};

// The worker's response to the call.
struct answered
{
    core::call_id call;
    http::response http_response;
    // How long the call occupied its slot.
    core::milliseconds run_time{0};
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

// Sent when the load of a worker changes, to the nodes that have recently
// offered calls to it.
struct load_update
{
    core::upstream_id upstream;
    balancing::load_report load;
};

// Asks the other node to confirm that the connection still works.
struct ping
{};
// Answers a ping.
struct pong
{};

using message = std::variant<offer, body_request, body_data, cancel, refused,
                             answered, failed, load_update, ping, pong>;

} // namespace yuccafall::peers

#endif
