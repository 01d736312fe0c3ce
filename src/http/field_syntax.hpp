// The syntax of header fields (RFC 9110 section 5).
#ifndef YUCCAFALL_HTTP_FIELD_SYNTAX_HPP
#define YUCCAFALL_HTTP_FIELD_SYNTAX_HPP

#include <string_view>

namespace yuccafall::http {

// Returns whether the text is a token, as names of fields are.
bool is_token(std::string_view text);

// Returns whether the text contains no control byte other than the tab.
bool is_free_of_control_bytes(std::string_view text);

} // namespace yuccafall::http

#endif
