// Converts the path and the host of a request to the canonical form that is
// compared with the routes.
//
// Every node must find the same route for the same bytes, and the worker must
// not interpret the path differently from the node that matched it. A request
// whose path is ambiguous is therefore rejected. These rules apply:
//
// - The query, which starts at the first '?', is not part of the path.
// - Each %XX is decoded once. A malformed percent-encoding is rejected.
// - '\', '#' and control characters are rejected, whether they are raw or
//   percent-encoded. A percent-encoded '/' is rejected, while a raw '/'
//   separates segments.
// - The empty segment (as in "//"), "." and ".." are rejected, also if they
//   were percent-encoded. One trailing '/' is removed.
//
// The request is forwarded with its original target.
#ifndef YUCCAFALL_TABLES_REQUEST_TARGET_HPP
#define YUCCAFALL_TABLES_REQUEST_TARGET_HPP

#include <string>
#include <string_view>

#include "core/error.hpp"

namespace yuccafall::tables {

// Returns the canonical form of a path with or without a query. Fails with
// bad_request if the path is rejected.
core::result<std::string> canonical_path(std::string_view target);

// Returns the host in lower case, without the port and without a trailing dot.
std::string canonical_host(std::string_view host);

} // namespace yuccafall::tables

#endif
