// What nodes say to each other about calls.
//
// The caller's node offers a call to the node beside the chosen worker. That
// node refuses it, or runs it and sends the whole answer.
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

struct offer
{
    core::call_id call;
    core::upstream_id upstream;
    core::request_id request;
    core::route_name route;
    routing::repeatability kind = routing::repeatability::non_idempotent;
    core::rank rank;
    // Made by a worker for a request that it runs.
    bool nested = false;
    // Counted from the sending; the receiver's clock may differ.
    core::milliseconds remaining{0};
    // Zero where the aim cannot be met any more.
    core::milliseconds aim_remaining{0};
    // The service beside the node where the request began.
    core::service_name origin;
    // Whether the call may have been sent to a worker before.
    bool repeated = false;
    // Another worker is believed to have a free slot: better refused at once
    // than queued.
    bool has_alternative = false;
    // The body follows once it has been asked for.
    bool body_follows = false;
    // Of the whole body, in either case.
    core::byte_count body_size;
    // Without the fields of the caller's connection.
    http::request message;
};

struct body_wanted
{
    core::call_id call;
};

struct body
{
    core::call_id call;
    std::string bytes;
};

// The caller's node does not want the answer any more. A call that waits is
// dropped; one that runs is ended where it may be repeated.
struct cancel
{
    core::call_id call;
};

// The call did not run and will not.
struct refused
{
    core::call_id call;
    core::error_kind kind = core::error_kind::overloaded;
    core::milliseconds retry_after{0};
    // The worker itself was asked, which counts as an arrival there.
    bool reached_worker = false;
    balancing::load_report load;
};

struct answered
{
    core::call_id call;
    http::response message;
    // How long the call held its slot.
    core::milliseconds ran_for{0};
    balancing::load_report load;
};

// The call was sent to the worker, and no answer can be given.
struct failed
{
    core::call_id call;
    core::error_kind kind = core::error_kind::upstream_failed;
    std::string detail;
    balancing::load_report load;
};

// Sent to nodes that have offered calls lately, when the load changes.
struct load_changed
{
    core::upstream_id upstream;
    balancing::load_report load;
};

// Asks the other side to show that the connection still works.
struct ping
{};
struct pong
{};

using message = std::variant<offer, body_wanted, body, cancel, refused,
                             answered, failed, load_changed, ping, pong>;

} // namespace yuccafall::peers

#endif
