// Decides whether the response of a worker may be passed on to a caller.
#ifndef YUCCAFALL_METADATA_RESPONSE_CHECK_HPP
#define YUCCAFALL_METADATA_RESPONSE_CHECK_HPP

#include <optional>

#include "http/message.hpp"
#include "http/response_fault.hpp"
#include "metadata/header_codec.hpp"

namespace yuccafall::metadata {

// Returns why the response may not be passed on, or nothing. The response does
// not state that the request did not run.
std::optional<http::invalid_response>
find_fault(http::response const& response, response_metadata const& metadata);

} // namespace yuccafall::metadata

#endif
