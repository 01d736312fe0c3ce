// Decides whether the response of a worker may be passed on to a caller.
#ifndef YUCCAFALL_METADATA_RESPONSE_CHECK_HPP
#define YUCCAFALL_METADATA_RESPONSE_CHECK_HPP

#include <optional>

#include "http/message.hpp"
#include "http/response_fault.hpp"
#include "metadata/header_codec.hpp"

namespace yuccafall::metadata {

// Returns whether the worker states that it did not run the request. A
// statement that contradicts itself or the status is none.
bool is_refusal(http::response const& response,
                response_metadata const& metadata);

// Returns why a response that is not a refusal may not be passed on, or
// nothing.
std::optional<http::invalid_response>
find_fault(http::response const& response, response_metadata const& metadata);

} // namespace yuccafall::metadata

#endif
