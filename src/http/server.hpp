// Implements an HTTP/1.1 server that runs on one thread. It accepts
// connections, reads complete requests within the configured limits and passes
// each request to a handler, which responds immediately or later.
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
#include "transport/paced_link.hpp"

namespace yuccafall::http {

struct server_settings
{
    size_limits sizes;
    // Limits the time from the first byte of a request's head to the end of the
    // head, and the time between two received parts of the body.
    core::milliseconds head_timeout{3'000};
    // Limits the time that a connection stays open without a request.
    core::milliseconds idle_timeout{15'000};
    core::connection_count max_connections{2'000};
    // Limits the memory that the request bodies of all connections take
    // together, including those that are still arriving. A request whose body
    // would exceed the limit is rejected, and the rest of the body is not kept.
    core::byte_count request_memory_limit{48UL * 1024 * 1024};
    // Responses that are longer than transport::max_unpaced_message are sent in
    // parts that this link grants. Null if responses are sent at once.
    std::shared_ptr<transport::paced_link> link;
};

class server;

// One accepted connection. It must be used only on the server's thread.
class server_connection : public std::enable_shared_from_this<server_connection>
{
public:
    server_connection(std::shared_ptr<server> owning_server,
                      boost::asio::ip::tcp::socket socket);
    ~server_connection();

    void start();

    // Sends the response to the current request. Must be called once for each
    // request.
    void send_response(response const& it);

    // Sets the handler for the current request. The handler is called once if
    // the caller disconnects before the response is sent. A request that gets
    // its response later must set a handler, even an empty one: without it, a
    // request whose caller has disconnected counts as open forever.
    void on_disconnect(std::function<void()> handler)
    {
        disconnect_handler_ = std::move(handler);
    }

    // Returns the time at which the current request was received completely.
    core::instant request_received_at() const { return request_received_at_; }
    bool idle() const { return phase_ == phase::idle; }
    void close();

private:
    enum class phase
    {
        idle,
        head,
        body,
        responding,
        closing,
    };

    void enter_phase(phase it);
    void start_timeout(core::milliseconds timeout);
    void on_timeout();
    void read();
    void on_data_received(std::size_t n);
    void parse_received_bytes();
    void on_head_complete();
    // Returns false if the request was rejected because the bodies of all
    // connections exceed the memory limit.
    bool has_room_for_body();
    void on_request_complete();
    void send_error(core::error const& why);
    void write(std::string bytes, bool close_after_write);
    // Sends the rest of a response that the link paces.
    void write_next_part(bool close_after_write);
    void write_part(std::size_t size, bool close_after_write);
    void on_response_written(bool close_after_write);
    // Gives the link's ticket of the current response back.
    void release_ticket();
    void on_caller_disconnected();
    void start_lingering_close();
    void set_buffered_bytes(std::size_t bytes);
    void set_counts_as_open(bool it);

    static constexpr std::size_t read_size = 8UL * 1024;
    // While a request is being handled, the server reads further requests of
    // the connection until it has buffered more than this many bytes of them.
    static constexpr std::size_t max_pipelined_bytes = 64UL * 1024;
    // The peer gets this long to read the last response before the connection
    // is closed.
    static constexpr core::milliseconds lingering_close_timeout{1'000};

    std::shared_ptr<server> server_;
    boost::asio::ip::tcp::socket socket_;
    boost::asio::steady_timer timer_;
    std::array<char, read_size> read_buffer_{};
    std::string unparsed_bytes_;
    std::string response_bytes_;
    // Number of bytes of a paced response that have been written, and its
    // ticket. The ticket is empty if no paced response is being written.
    std::size_t response_bytes_written_ = 0;
    std::optional<transport::link_ticket> ticket_;
    std::optional<request_reader> reader_;
    std::function<void()> disconnect_handler_;
    core::instant request_received_at_{};
    phase phase_ = phase::idle;
    bool keep_alive_ = true;
    bool is_head_request_ = false;
    // Whether the current request counts in server::requests_open_.
    bool counts_as_open_ = false;
    // Whether on_head_complete() has run for the current request.
    bool head_handled_ = false;
    bool read_pending_ = false;
    bool open_ = true;
    // Size of what has arrived of the current request's body. It is included in
    // server::buffered_bytes_ until the response is sent.
    std::size_t buffered_bytes_ = 0;
};

// Each instance must be used only on the thread that runs its io_context.
class server : public std::enable_shared_from_this<server>
{
public:
    using handler =
        std::function<void(std::shared_ptr<server_connection>, request)>;
    // Makes the response to a request that failed before it reached the
    // handler.
    using error_response_function = std::function<response(core::error const&)>;

    static core::result<std::shared_ptr<server>>
    listen(boost::asio::io_context& context, core::endpoint const& at,
           handler request_handler,
           error_response_function make_error_response);

    server(boost::asio::io_context& context, handler request_handler,
           error_response_function make_error_response);

    core::endpoint local() const { return local_endpoint_; }
    server_settings const& settings() const { return settings_; }
    void set_settings(server_settings const& it) { settings_ = it; }

    // From now on every response closes its connection.
    void start_draining();
    bool draining() const { return draining_; }
    // Stops accepting connections and closes the open ones.
    void stop();

    std::size_t connections() const { return connections_.size(); }
    // Returns the memory that the request bodies of all connections take.
    core::byte_count buffered_bytes() const
    {
        return core::byte_count(buffered_bytes_);
    }
    // Returns the number of requests whose response has not been written yet.
    std::size_t requests_open() const { return requests_open_; }
    // Returns the time at which the last request was received completely.
    core::instant last_request_received_at() const
    {
        return last_request_received_at_;
    }

private:
    friend class server_connection;

    core::result<void> open(core::endpoint const& at);
    void accept();
    void remove_connection(server_connection* it) { connections_.erase(it); }

    boost::asio::ip::tcp::acceptor acceptor_;
    boost::asio::steady_timer accept_retry_timer_;
    handler request_handler_;
    error_response_function make_error_response_;
    server_settings settings_;
    core::endpoint local_endpoint_;
    // A connection removes itself from the set when it is destroyed.
    std::set<server_connection*> connections_;
    std::size_t requests_open_ = 0;
    // Total size of the buffered request bodies of all connections.
    std::size_t buffered_bytes_ = 0;
    core::instant last_request_received_at_{};
    bool draining_ = false;
    bool stopped_ = false;
};

} // namespace yuccafall::http

#endif
