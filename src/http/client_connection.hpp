// One kept-alive connection to an HTTP server, one exchange at a time. Nothing
// is ever sent twice: what a failure means is the caller's decision.
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
#include "core/units.hpp"
#include "http/message.hpp"
#include "http/readers.hpp"

namespace yuccafall::http {

enum class failure_cause
{
    connect_failed,
    // Closed or reset before a byte of the answer came.
    closed_unanswered,
    // The answer broke off or is no HTTP.
    broken_answer,
    timed_out,
    // close() was called.
    canceled,
};

struct exchange_failure
{
    failure_cause cause;
    std::string detail;
};

using exchange_result = tl::expected<response, exchange_failure>;

struct exchange_terms
{
    // Zero: no limit.
    core::milliseconds timeout{0};
    bool answers_head = false;
    size_limits sizes;
    // Whether a response answers this request. One that does not is dropped,
    // and the next one is awaited. Empty: every response does.
    std::function<bool(response const&)> belongs;
};

// Invariant: used on one thread.
class client_connection : public std::enable_shared_from_this<client_connection>
{
public:
    using connect_handler = std::function<void(core::result<void>)>;
    using exchange_handler = std::function<void(exchange_result)>;

    explicit client_connection(boost::asio::any_io_executor const& executor);

    // Once; the handler is called later, never from within.
    void connect(core::endpoint const& to, core::milliseconds timeout,
                 connect_handler done);

    // Invariant: connected, and the exchange before has ended.
    void exchange(std::string message, exchange_terms terms,
                  exchange_handler done);

    // Ends an exchange that runs with `canceled`.
    void close();

    // Whether another exchange may use the connection: the one before has been
    // written and read whole, and nothing has arrived since.
    bool reusable();

    // When the last exchange ended.
    core::instant idle_since() const { return idle_since_; }

private:
    void read();
    void received(std::size_t n);
    void read_ended(boost::system::error_code const& ec);
    void finish(exchange_result outcome);
    void fail(failure_cause cause, std::string detail);
    void watch_time(core::milliseconds timeout);

    // A response of the usual size takes one read.
    static constexpr std::size_t read_size = 8UL * 1024;
    // Responses dropped in one exchange before the connection is given up.
    static constexpr int most_strangers = 4;

    boost::asio::ip::tcp::socket socket_;
    boost::asio::steady_timer timer_;
    std::array<char, read_size> chunk_{};
    std::string buffer_;
    std::string outgoing_;
    std::optional<response_reader> reader_;
    exchange_terms terms_;
    exchange_handler done_;
    connect_handler connected_;
    core::instant idle_since_{};
    int strangers_ = 0;
    bool writing_ = false;
    bool reading_ = false;
    // Invariant: once set, never cleared; the connection is not used again.
    bool spent_ = false;
};

} // namespace yuccafall::http

#endif
