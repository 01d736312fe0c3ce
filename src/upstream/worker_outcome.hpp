// Defines how a request to the local worker may end, and what a response shows
// of it.
#ifndef YUCCAFALL_UPSTREAM_WORKER_OUTCOME_HPP
#define YUCCAFALL_UPSTREAM_WORKER_OUTCOME_HPP

#include <optional>
#include <string>
#include <variant>

#include "http/client_connection.hpp"
#include "http/message.hpp"
#include "metadata/header_codec.hpp"
#include "upstream/rejection_share.hpp"

namespace yuccafall::upstream {

// The worker ran the request and sent a valid response.
struct worker_answered
{
    http::response response;
    metadata::response_metadata metadata;
};
// The worker, or another worker that now has its address, rejected the request
// before it ran.
struct worker_rejected
{
    metadata::response_metadata metadata;
};
// No connection to the worker could be opened, so the request did not run.
struct worker_unreachable
{
    std::string reason;
};
// The request was sent to the worker but got no valid response. It may have
// run.
struct worker_failed
{
    http::failure_cause cause;
    std::string reason;
    std::optional<admission::worker_load> load;
    // True if the connection was closed or reset, and not by this node, or if
    // the response is not valid HTTP.
    bool connection_lost = false;
    // Why the response is not used, if one has arrived at least in part.
    std::optional<http::response_fault> fault = std::nullopt;
};
// How a request to the worker ended.
using worker_outcome = std::variant<worker_answered, worker_rejected,
                                    worker_unreachable, worker_failed>;

// Returns the outcome of a request whose response has arrived completely.
worker_outcome classify_response(http::response response,
                                 metadata::header_codec const& header_codec);

// Returns the metadata of a response in which the worker speaks for itself, or
// null if there is none.
metadata::response_metadata const* metadata_of(worker_outcome const& it);

// Returns the load that the worker has reported with the outcome, if any.
std::optional<admission::worker_load> load_of(worker_outcome const& it);

run_end end_of(worker_outcome const& it);

} // namespace yuccafall::upstream

#endif
