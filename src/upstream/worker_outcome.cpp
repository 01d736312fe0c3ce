// Tells apart the outcomes of requests to the worker.
#include "upstream/worker_outcome.hpp"

#include <utility>

#include "core/overloaded.hpp"

namespace yuccafall::upstream {

namespace {

// Returns true if the status code means that the worker did not run the
// request. A worker's response with such a code counts as a failure unless it
// also states in its metadata that the request did not run, since the code may
// be wrong.
bool status_implies_request_not_run(int status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

} // namespace

worker_outcome classify_response(http::response response,
                                 metadata::header_codec const& header_codec)
{
    auto metadata = header_codec.read_response_metadata(response);
    if (metadata.not_run || metadata.wrong_worker)
    {
        return worker_rejected{std::move(metadata)};
    }
    auto const invalid_response_failure = [&](std::string reason) {
        return worker_failed{http::failure_cause::invalid_response,
                             std::move(reason), metadata.load};
    };
    if (http::find_header(response.headers, "content-encoding") != nullptr)
    {
        // The request did not ask for a content encoding.
        return invalid_response_failure(
            "the worker's response has an unrequested content encoding");
    }
    if (response.status < 300 && !metadata.has_signature)
    {
        return invalid_response_failure(
            "the worker's success response carries no signature");
    }
    if (status_implies_request_not_run(response.status))
    {
        return invalid_response_failure(
            "the worker's status code implies that the request did "
            "not run, but its response does not state so");
    }
    return worker_answered{std::move(response), std::move(metadata)};
}

metadata::response_metadata const* metadata_of(worker_outcome const& it)
{
    return std::visit(
        core::overloaded{
            [](worker_answered const& o) { return &o.metadata; },
            [](worker_rejected const& o) { return &o.metadata; },
            [](auto const&) {
                return static_cast<metadata::response_metadata const*>(nullptr);
            }},
        it);
}

std::optional<admission::worker_load> load_of(worker_outcome const& it)
{
    using load = std::optional<admission::worker_load>;
    return std::visit(
        core::overloaded{
            [](worker_answered const& o) { return o.metadata.load; },
            [](worker_rejected const& o) { return o.metadata.load; },
            [](worker_failed const& o) { return o.load; },
            [](worker_unreachable const&) { return load(); }},
        it);
}

run_end end_of(worker_outcome const& it)
{
    return std::visit(
        core::overloaded{
            [](worker_answered const&) { return run_end::answered; },
            [](worker_rejected const&) { return run_end::rejected; },
            [](worker_failed const&) { return run_end::failed; },
            [](worker_unreachable const&) { return run_end::unreachable; }},
        it);
}

} // namespace yuccafall::upstream
