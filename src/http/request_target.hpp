// Handles the forms of a request's target, RFC 9112 section 3.2.
#ifndef YUCCAFALL_HTTP_REQUEST_TARGET_HPP
#define YUCCAFALL_HTTP_REQUEST_TARGET_HPP

#include <string_view>

namespace yuccafall::http {

// A target that contains a whole URI, such as "http://host/path?query".
struct absolute_form
{
    // The host with its port, if there is one.
    std::string_view authority;
    // The path with the query. It is empty or begins with "/" or "?".
    std::string_view path;
};

// Returns whether the target begins with the scheme "http".
bool is_absolute_form(std::string_view target);

// Must be called only for a target in absolute form. The result refers to the
// target's characters.
absolute_form split_absolute_form(std::string_view target);

// Returns whether the authority names a host and contains no user information,
// which a recipient has to treat as an error (RFC 9110 section 4.2.4).
bool is_valid_authority(std::string_view authority);

} // namespace yuccafall::http

#endif
