// Checks of a response that do not depend on how its bytes were sent, so that
// they hold for one that another node has passed on as well.
#ifndef YUCCAFALL_HTTP_RESPONSE_CHECK_HPP
#define YUCCAFALL_HTTP_RESPONSE_CHECK_HPP

#include <optional>

#include "http/message.hpp"
#include "http/response_fault.hpp"

namespace yuccafall::http {

// Returns whether the code is one of RFC 9110 section 15. The meaning of others
// is not defined.
constexpr bool is_valid_status(int code)
{
    return code >= 100 && code <= 599;
}

// Returns what is wrong with the head of a final response, or nothing.
std::optional<invalid_response> find_head_fault(response const& it);

} // namespace yuccafall::http

#endif
