// Defines incremental parsers for one request or one response. They read from
// byte strings, not from a socket, so that tests can check every framing rule
// with plain strings.
#ifndef YUCCAFALL_HTTP_READERS_HPP
#define YUCCAFALL_HTTP_READERS_HPP

#include <memory>
#include <string>

#include <tl/expected.hpp>

#include "core/error.hpp"
#include "core/units.hpp"
#include "http/message.hpp"
#include "http/response_fault.hpp"

namespace yuccafall::http {

struct size_limits
{
    core::byte_count head{16UL * 1024};
    core::byte_count body{64UL * 1024 * 1024};
};

enum class parse_progress
{
    needs_more_data,
    complete,
};

class request_reader
{
public:
    explicit request_reader(size_limits limits);
    ~request_reader();
    request_reader(request_reader&&) noexcept;
    request_reader& operator=(request_reader&&) noexcept;

    // Parses the buffer and removes the parsed bytes from its front. Bytes
    // after the end of the request stay in the buffer. The function fails with
    // bad_request, head_too_large or body_too_large. After a failure the
    // connection must not be used for another request, since the bytes that
    // follow may still belong to the failed one.
    core::result<parse_progress> parse(std::string& buffer);

    bool head_complete() const;
    // Returns the number of bytes of the body that have been received.
    std::size_t body_size() const;
    // Returns the size of the body that the head states, or 0 if it states
    // none. Must be called only after the head is complete.
    std::uint64_t stated_body_size() const;
    // Returns whether the caller waits for "100 Continue" before it sends the
    // body.
    bool expects_continue() const;
    // Returns the request. It must be called only once, after parse() has
    // returned `complete`.
    request release();

private:
    struct state;
    std::unique_ptr<state> state_;
};

class response_reader
{
public:
    // The response to a HEAD request has no body, even if its head states a
    // length.
    response_reader(size_limits limits, bool is_head_request);
    ~response_reader();
    response_reader(response_reader&&) noexcept;
    response_reader& operator=(response_reader&&) noexcept;

    // Parses the buffer as request_reader::parse() does. Interim responses
    // (1xx) are skipped, and the fields of a trailer are discarded.
    tl::expected<parse_progress, invalid_response> parse(std::string& buffer);
    // Must be called when the peer has closed the connection without an error,
    // which completes a response that has no length.
    tl::expected<parse_progress, invalid_response> parse_eof();

    // Returns whether any bytes have been received, be it an interim response.
    bool started() const;
    // Returns the size of the body that the head states, or 0 if the head is
    // not complete or states none.
    std::uint64_t stated_body_size() const;
    // Returns the number of bytes of the body that have been received.
    std::size_t body_size() const;
    // Returns the response. It must be called only once, after the response is
    // complete.
    response release();

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace yuccafall::http

#endif
