// The reasons for which a response is not used. Its connection is not used
// again either, since it is not known where the next response begins.
#ifndef YUCCAFALL_HTTP_RESPONSE_FAULT_HPP
#define YUCCAFALL_HTTP_RESPONSE_FAULT_HPP

#include <array>
#include <string>
#include <string_view>

#include "core/counter.hpp"

namespace yuccafall::http {

enum class response_fault
{
    // The status line is not one of HTTP/1.0 or HTTP/1.1.
    status_line,
    // The status code is below 100 or above 599.
    status,
    // An interim response changes the protocol, or there are too many.
    interim,
    // A line of the head or of a trailer is malformed, or it is folded.
    field,
    // The end of the body is ambiguous, or the body has a transfer coding that
    // was not asked for.
    framing,
    // A chunk is malformed.
    chunk,
    head_too_large,
    body_too_large,
    // The body is not of the format that the sender and the reader agreed on.
    body,
    // The server closed the connection before the end of the response.
    incomplete,
    // The connection failed before the end of the response.
    reset,
    // The server sent only responses to other requests.
    other_request,
    // The server applied a content coding that was not asked for.
    content_coding,
    // The server did not sign a success.
    no_signature,
    // The status promises that the request did not run, but the server does not
    // state so.
    unconfirmed_refusal,
};

inline constexpr std::size_t response_fault_count = 15;

// Returns the name in logs and metrics.
std::string_view to_string(response_fault it) noexcept;

struct invalid_response
{
    response_fault fault;
    std::string detail;
};

// Counts the responses of one source that were not used. May be incremented on
// one thread while another one reads it.
class response_fault_counters
{
public:
    void record(response_fault it)
    {
        core::add(counts_[static_cast<std::size_t>(it)]);
    }
    std::uint64_t count_of(response_fault it) const
    {
        return core::value_of(counts_[static_cast<std::size_t>(it)]);
    }

private:
    std::array<core::counter, response_fault_count> counts_{};
};

} // namespace yuccafall::http

#endif
