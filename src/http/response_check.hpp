// Checks of a response that do not depend on how its bytes were sent, so that
// they hold for one that another node has passed on as well.
#ifndef YUCCAFALL_HTTP_RESPONSE_CHECK_HPP
#define YUCCAFALL_HTTP_RESPONSE_CHECK_HPP

namespace yuccafall::http {

// Returns whether the code is one of RFC 9110 section 15. The meaning of others
// is not defined.
constexpr bool is_valid_status(int code)
{
    return code >= 100 && code <= 599;
}

} // namespace yuccafall::http

#endif
