// Implements the rules for responses of workers.
#include "metadata/response_check.hpp"

#include "http/response_check.hpp"

namespace yuccafall::metadata {

using http::invalid_response;
using http::response_fault;

namespace {

bool is_success(http::response const& it)
{
    return it.status < 300;
}

// Returns true if the status code means that the worker did not run the
// request. A worker's response with such a code counts as a failure unless it
// also states in its metadata that the request did not run, since the code may
// be wrong.
bool status_implies_request_not_run(int status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

} // namespace

bool is_refusal(http::response const& response,
                response_metadata const& metadata)
{
    return !metadata.is_contradictory &&
           ((metadata.not_run && !is_success(response)) ||
            metadata.wrong_worker);
}

std::optional<invalid_response> find_fault(http::response const& response,
                                           response_metadata const& metadata)
{
    if (auto fault = http::find_head_fault(response))
    {
        return fault;
    }
    if (metadata.is_contradictory)
    {
        return invalid_response{
            response_fault::field,
            "the worker states two values of a field that has one"};
    }
    if (http::find_header(response.headers, "content-encoding") != nullptr)
    {
        // The request did not ask for a content encoding.
        return invalid_response{
            response_fault::content_coding,
            "the worker's response has an unrequested content encoding"};
    }
    if (is_success(response) && metadata.not_run)
    {
        return invalid_response{
            response_fault::field,
            "the worker states that it did not run a request that it answers "
            "with success"};
    }
    if (is_success(response) && !metadata.has_signature)
    {
        return invalid_response{
            response_fault::no_signature,
            "the worker's success response carries no signature"};
    }
    if (status_implies_request_not_run(response.status))
    {
        return invalid_response{
            response_fault::unconfirmed_refusal,
            "the worker's status code implies that the request did not run, "
            "but its response does not state so"};
    }
    return std::nullopt;
}

} // namespace yuccafall::metadata
