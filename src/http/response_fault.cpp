// Names the faults of responses.
#include "http/response_fault.hpp"

namespace yuccafall::http {

namespace {

// Invariant: the element at index i names the fault with value i.
constexpr std::array<std::string_view, response_fault_count> names{
    "status_line",    "status",         "interim",
    "field",          "framing",        "chunk",
    "head_too_large", "body_too_large", "body",
    "incomplete",     "reset",          "other_request",
    "content_coding", "no_signature",   "unconfirmed_refusal"};

} // namespace

std::string_view to_string(response_fault it) noexcept
{
    return names[static_cast<std::size_t>(it)];
}

} // namespace yuccafall::http
