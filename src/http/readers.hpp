// Incremental parsers for one request or one response. They take bytes and
// know no socket, so that every framing rule is tested on plain strings.
#ifndef YUCCAFALL_HTTP_READERS_HPP
#define YUCCAFALL_HTTP_READERS_HPP

#include <memory>
#include <string>

#include "core/error.hpp"
#include "core/units.hpp"
#include "http/message.hpp"

namespace yuccafall::http {

struct size_limits
{
    core::byte_count head{16UL * 1024};
    core::byte_count body{64UL * 1024 * 1024};
};

enum class progress
{
    needs_more,
    complete,
};

class request_reader
{
public:
    explicit request_reader(size_limits limits);
    ~request_reader();
    request_reader(request_reader&&) noexcept;
    request_reader& operator=(request_reader&&) noexcept;

    // Removes what it has read from the front of the buffer; bytes after the
    // end of the request stay. Fails with bad_request, head_too_large or
    // body_too_large, after which nothing on the connection can be trusted.
    core::result<progress> take(std::string& buffer);

    bool head_done() const;
    // The caller waits for "100 Continue" before it sends the body.
    bool expects_continue() const;
    // Call once, after take() has returned complete.
    request release();

private:
    struct state;
    std::unique_ptr<state> state_;
};

class response_reader
{
public:
    // The answer to a HEAD request has no body whatever its head says.
    response_reader(size_limits limits, bool answers_head);
    ~response_reader();
    response_reader(response_reader&&) noexcept;
    response_reader& operator=(response_reader&&) noexcept;

    // As above. Interim responses (1xx) are skipped. Fails with
    // truncated_answer where the bytes are no response.
    core::result<progress> take(std::string& buffer);
    // The peer has closed in order: completes a response without a length.
    core::result<progress> end();

    bool started() const;
    response release();

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace yuccafall::http

#endif
