// An HTTP/1.1 server on one thread: accepts connections, reads whole requests
// within the limits in force and hands each to a handler, which answers now or
// later.
#ifndef YUCCAFALL_HTTP_SERVER_HPP
#define YUCCAFALL_HTTP_SERVER_HPP

#include <array>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include "core/endpoint.hpp"
#include "core/error.hpp"
#include "core/units.hpp"
#include "http/message.hpp"
#include "http/readers.hpp"

namespace yuccafall::http {

struct server_terms
{
    size_limits sizes;
    // From the first byte of a head to its end, and between two pieces of a
    // body.
    core::milliseconds head_timeout{3'000};
    // Without a request.
    core::milliseconds idle_timeout{15'000};
    core::connection_count most_connections{2'000};
    // Requests that are held in memory, all connections together; a request
    // over this is refused before its body is read.
    core::byte_count held_bytes{48UL * 1024 * 1024};
};

class server;

// Invariant: used on the server's thread.
class server_connection : public std::enable_shared_from_this<server_connection>
{
public:
    server_connection(std::shared_ptr<server> owner,
                      boost::asio::ip::tcp::socket socket);
    ~server_connection();

    void start();

    // Once for each request.
    void answer(response const& it);

    // Called once if the caller leaves before the answer.
    void on_gone(std::function<void()> handler) { gone_ = std::move(handler); }

    core::instant request_ended() const { return request_ended_; }
    bool idle() const { return phase_ == phase::idle; }
    void close();

private:
    enum class phase
    {
        idle,
        head,
        body,
        answering,
        closing,
    };

    void enter(phase it);
    void watch_time(core::milliseconds timeout);
    void time_passed();
    void read();
    void received(std::size_t n);
    void proceed();
    void head_ended();
    void request_complete();
    void refuse(core::error const& why);
    void write(std::string bytes, bool then_close);
    void caller_left();
    void linger();
    void hold(std::size_t bytes);

    static constexpr std::size_t read_size = 8UL * 1024;
    // Bytes of further requests that are read while one is answered.
    static constexpr std::size_t most_pipelined = 64UL * 1024;
    // For the peer to read the last answer before the connection goes.
    static constexpr core::milliseconds linger_time{1'000};

    std::shared_ptr<server> owner_;
    boost::asio::ip::tcp::socket socket_;
    boost::asio::steady_timer timer_;
    std::array<char, read_size> chunk_{};
    std::string buffer_;
    std::string outgoing_;
    std::optional<request_reader> reader_;
    std::function<void()> gone_;
    core::instant request_ended_{};
    phase phase_ = phase::idle;
    bool keep_alive_ = true;
    bool head_only_ = false;
    bool continued_ = false;
    bool reading_ = false;
    bool open_ = true;
    // Counted in the server's total until the request has been answered.
    std::size_t held_ = 0;
};

// Invariant: used on the io_context's one thread.
class server : public std::enable_shared_from_this<server>
{
public:
    using handler =
        std::function<void(std::shared_ptr<server_connection>, request)>;
    // How a request that never reached the handler is answered.
    using refusal = std::function<response(core::error const&)>;

    static core::result<std::shared_ptr<server>>
    listen(boost::asio::io_context& context, core::endpoint const& at,
           handler handle, refusal refuse);

    server(boost::asio::io_context& context, handler handle, refusal refuse);

    core::endpoint local() const { return local_; }
    server_terms const& terms() const { return terms_; }
    void set_terms(server_terms const& it) { terms_ = it; }

    // From now on each answer ends its connection.
    void start_leaving();
    bool leaving() const { return leaving_; }
    // Accepts no more and closes what is open.
    void stop();

    std::size_t connections() const { return connections_.size(); }
    std::size_t requests_open() const { return requests_open_; }
    // When the last request was read whole.
    core::instant last_request() const { return last_request_; }

private:
    friend class server_connection;

    core::result<void> open(core::endpoint const& at);
    void accept();
    void forget(server_connection* it) { connections_.erase(it); }

    boost::asio::ip::tcp::acceptor acceptor_;
    boost::asio::steady_timer retry_timer_;
    handler handle_;
    refusal refuse_;
    server_terms terms_;
    core::endpoint local_;
    // Each removes itself when it is destroyed.
    std::set<server_connection*> connections_;
    std::size_t requests_open_ = 0;
    std::size_t held_bytes_ = 0;
    core::instant last_request_{};
    bool leaving_ = false;
    bool stopped_ = false;
};

} // namespace yuccafall::http

#endif
