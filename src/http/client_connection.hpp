// Manages one persistent connection to an HTTP server. An exchange is one
// request and its response; the connection runs one exchange at a time. A
// request is never sent again: the user of the connection decides what to do
// after a failure.
#ifndef YUCCAFALL_HTTP_CLIENT_CONNECTION_HPP
#define YUCCAFALL_HTTP_CLIENT_CONNECTION_HPP

#include <array>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <tl/expected.hpp>

#include "core/endpoint.hpp"
#include "core/error.hpp"
#include "core/memory_part.hpp"
#include "core/units.hpp"
#include "http/message.hpp"
#include "http/readers.hpp"

namespace yuccafall::http {

enum class failure_cause
{
    connect_failed,
    // The connection was closed or reset before the first byte of the response.
    closed_without_response,
    // The response is incomplete or malformed; exchange_failure::fault says
    // how.
    invalid_response,
    // The body of the response exceeds the limit of the exchange.
    response_too_large,
    // The memory for responses that do not state their size is used up.
    out_of_memory,
    timed_out,
    // close() was called during the exchange.
    canceled,
};

struct exchange_failure
{
    failure_cause cause;
    std::string detail;
    // Set if bytes of a response have arrived that cannot be used.
    std::optional<response_fault> fault = std::nullopt;
};

using exchange_result = tl::expected<response, exchange_failure>;

struct exchange_options
{
    // Zero means that the exchange has no timeout.
    core::milliseconds timeout{0};
    // If this is not zero, `timeout` limits only the time until the response
    // begins, and this limits the time between two received parts of it. A
    // large response over a slow link then needs no long timeout.
    core::milliseconds stall_timeout{0};
    // The request is a HEAD request, so its response has no body.
    bool is_head_request = false;
    size_limits sizes;
    // Returns whether a response belongs to this request. A response that does
    // not is discarded, and the connection reads the next one. An empty
    // function accepts every response.
    std::function<bool(response const&)> matches_request;
    // Counts the responses while they arrive. One that has no room is left in
    // the kernel's buffer until it has, within the timeout. If all responses
    // that are held wait for room, one that does not state its size ends with
    // out_of_memory. Null if responses are not counted.
    std::shared_ptr<core::memory_part> memory;
};

// Each instance must be used only on the thread that runs its executor.
class client_connection : public std::enable_shared_from_this<client_connection>
{
public:
    using connect_handler = std::function<void(core::result<void>)>;
    using exchange_handler = std::function<void(exchange_result)>;

    explicit client_connection(boost::asio::any_io_executor const& executor);

    // Must be called only once. The handler is called asynchronously, never
    // from within connect().
    void connect(core::endpoint const& to, core::milliseconds timeout,
                 connect_handler done);

    // Precondition: the connection is established, and the previous exchange
    // has ended.
    void exchange(std::string message, exchange_options options,
                  exchange_handler done);

    // A running exchange ends with the cause `canceled`.
    void close();

    // Returns whether another exchange may use the connection: the previous
    // request was written and its response read completely, and since then the
    // peer has neither sent data nor closed the connection.
    bool reusable();

    // Returns the time at which the last exchange ended.
    core::instant idle_since() const { return idle_since_; }

private:
    void read();
    void on_data_received(std::size_t n);
    void on_read_error(boost::system::error_code const& ec);
    // Completes or rejects the response after the last read.
    void end_response(boost::system::error_code const& ec);
    // Returns whether the end of the stream is a FIN of the server rather than
    // a failure of the connection that a write has reported.
    bool ended_by_server() const;
    void finish_exchange(exchange_result result);
    void fail_exchange(failure_cause cause, std::string detail,
                       std::optional<response_fault> fault = std::nullopt);
    void reject_response(invalid_response const& why);
    void start_timeout(core::milliseconds timeout);
    // Reads the next part of the response, now or when there is memory for it.
    void read_response();
    // Returns the memory that the response needs before its next part is read.
    core::byte_count memory_for_next_part() const;
    // Lets the memory part end the response while its size is not known.
    void hold_response_memory();
    void end_response_for_memory();

    // A response that does not state its size and is no longer than this never
    // waits for memory.
    static constexpr std::size_t unchecked_response_size = 16UL * 1024;
    // A response of the usual size arrives in one read.
    static constexpr std::size_t read_size = 8UL * 1024;
    // One exchange discards up to this many responses that belong to other
    // requests. After one more, the exchange fails.
    static constexpr int max_mismatched_responses = 4;

    boost::asio::ip::tcp::socket socket_;
    boost::asio::steady_timer timer_;
    std::array<char, read_size> read_buffer_{};
    std::string unparsed_bytes_;
    std::string request_bytes_;
    std::optional<response_reader> reader_;
    exchange_options options_;
    exchange_handler exchange_handler_;
    connect_handler connect_handler_;
    core::instant idle_since_{};
    core::held_memory response_memory_;
    // When memory was first held for the response.
    core::instant response_started_at_{};
    int mismatched_responses_ = 0;
    bool write_pending_ = false;
    // Why the request of this exchange could not be written, if so.
    boost::system::error_code write_error_;
    bool read_pending_ = false;
    // No further read is started. The rest of a response is read although the
    // connection is unusable because its request was not written.
    // Invariant: the flag is never cleared once it is set.
    bool reading_stopped_ = false;
    // Invariant: the flag is never cleared once it is set. The connection is
    // not used again after that.
    bool unusable_ = false;
};

} // namespace yuccafall::http

#endif
