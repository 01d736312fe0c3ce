// Interface to the header fields that a platform adds to HTTP. The platform's
// adapter provides functions that read the fields of a caller's request, write
// the fields of the request to the worker, and read the fields of the worker's
// response.
#ifndef YUCCAFALL_METADATA_HEADER_CODEC_HPP
#define YUCCAFALL_METADATA_HEADER_CODEC_HPP

#include <optional>

#include "admission/slot_queue.hpp"
#include "core/ids.hpp"
#include "core/units.hpp"
#include "http/message.hpp"

namespace yuccafall::metadata {

// Metadata that a caller sends with a request.
struct caller_metadata
{
    // Identifies the caller's attempt. The id is the same for all workers that
    // this node tries for the attempt.
    std::optional<core::request_id> request_id;
    // How long the caller waits for the response.
    std::optional<core::milliseconds> timeout;
};

// Metadata that the node sends to the worker with a request.
struct worker_metadata
{
    // The worker that the request is meant for. Any other worker that receives
    // the request rejects it.
    core::upstream_id target_worker;
    // Time until the deadline of the request.
    core::milliseconds remaining{0};
    // The service of the node that received the request from its caller.
    core::service_name origin;
};

// Metadata that a worker sends with a response.
struct response_metadata
{
    // True if the worker states that it did not run the request.
    bool not_run = false;
    // True if the request reached another worker than the one that it was meant
    // for, because that worker has taken over the address.
    bool wrong_worker = false;
    // True if the worker has signed the response, which it does only if it has
    // produced the complete response itself.
    bool has_signature = false;
    // The caller's attempt that the response belongs to.
    std::optional<core::request_id> request_id;
    // The load that the worker reports.
    std::optional<admission::worker_load> load;
    // True if the worker leaves: it finishes its requests and gets no new ones.
    bool leaves = false;
    // The rate that the worker states, or unknown if its statement cannot be
    // read.
    core::stated_rate rate;
    // How much longer the worker is cold: zero if it states no cold time, empty
    // if its statement cannot be read. Only health responses state it.
    std::optional<core::milliseconds> cold_remaining;
    // True if the worker states different values of a field that has one value,
    // so that it is not known which request the response belongs to, or which
    // signature is its own.
    bool is_contradictory = false;
    // How long the worker keeps the connection open while it is idle.
    std::optional<core::milliseconds> idle_timeout;
};

// The functions that the platform's adapter provides.
struct header_codec
{
    caller_metadata (*read_caller_metadata)(http::header_list const& headers);
    void (*write_worker_metadata)(http::header_list& headers,
                                  worker_metadata const& metadata);
    response_metadata (*read_response_metadata)(http::response const& response);
};

} // namespace yuccafall::metadata

#endif
