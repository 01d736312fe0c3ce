// Implements an HTTP/1.1 server that runs on one thread. It accepts
// connections, reads complete requests within the configured limits and passes
// each request to a handler, which responds immediately or later.
#ifndef YUCCAFALL_HTTP_SERVER_HPP
#define YUCCAFALL_HTTP_SERVER_HPP

#include <array>
#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include "core/endpoint.hpp"
#include "core/error.hpp"
#include "core/memory_part.hpp"
#include "core/units.hpp"
#include "http/connection_counters.hpp"
#include "http/message.hpp"
#include "http/readers.hpp"
#include "transport/paced_link.hpp"

namespace yuccafall::http {

struct server_settings
{
    size_limits sizes;
    // Limits the time from the first byte of a request's head to the end of the
    // head, and the time between two received parts of the body.
    // min_transfer_rate limits the time of the whole body.
    core::milliseconds head_timeout{3'000};
    // Limits the time that a connection stays open without a request.
    core::milliseconds idle_timeout{15'000};
    // When this many connections are open, an idle one is closed for each new
    // one.
    core::connection_count max_connections{2'000};
    // Counts the memory that requests take, including those that are still
    // arriving. A request that has no room is rejected, and the rest of it is
    // not kept.
    std::shared_ptr<core::memory_part> request_memory =
        std::make_shared<core::memory_part>(
            core::byte_count(48UL * 1024 * 1024));
    // Counts the memory of responses until they are written. To make room for a
    // new response, it ends those whose readers are the slowest. Null if
    // responses are not limited.
    std::shared_ptr<core::memory_part> response_memory;
    // A caller that reads a response, or sends a body, at less than this rate
    // on average over transfer_window loses its connection. 0 disables this.
    core::bytes_per_second min_transfer_rate{1'000};
    // Longer than a client on a line of a few kilobytes per second needs for
    // the largest step in which its kernel acknowledges data (64 kB).
    core::milliseconds transfer_window{30'000};
    // A request whose caller has already left, or has closed its sending side,
    // is dropped. Otherwise it is handled, since its response may still be
    // read.
    bool drops_abandoned_requests = false;
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
    void send_response(response it);

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
    // Closes the connection in favour of a new one.
    void give_way();

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
    // Returns false if the request was rejected because the requests of all
    // connections exceed the memory limit.
    bool has_room_for_request();
    // Returns false if the request was rejected because its body arrives too
    // slowly.
    bool has_body_progress();
    void on_request_complete();
    void send_error(core::error const& why);
    void write(std::string head, std::string body, bool close_after_write);
    // Sends the rest of a response that the link paces.
    void write_next_part(bool close_after_write);
    void write_part(std::size_t size, bool close_after_write);
    void on_response_written(bool close_after_write);
    // Counts the response until it is written, and lets the server end it to
    // make room for others.
    void hold_response_memory();
    void free_response();
    // Returns the bytes of the response that the caller's kernel has
    // acknowledged, less those of earlier responses that it has not.
    std::int64_t delivered_bytes();
    core::transfer_progress response_progress();
    void check_response_progress();
    // Resets the connection, so that the response does not look complete.
    void end_response(char const* reason);
    // Returns the next bytes of the response.
    std::array<boost::asio::const_buffer, 2>
    unwritten_bytes(std::size_t size) const;
    // Gives the link's ticket of the current response back.
    void release_ticket();
    void on_caller_disconnected();
    void start_lingering_close();
    void count_request_bytes();
    // Lists the connection among those that may give way to a new one, or among
    // none.
    void update_list();
    void set_counts_as_open(bool it);

    static constexpr std::size_t read_size = 8UL * 1024;
    // While a request is being handled, the server reads further requests of
    // the connection until it has buffered more than this many bytes of them.
    static constexpr std::size_t max_pipelined_bytes = 16UL * 1024;
    // The peer gets this long to read the last response before the connection
    // is closed.
    static constexpr core::milliseconds lingering_close_timeout{1'000};

    std::shared_ptr<server> server_;
    boost::asio::ip::tcp::socket socket_;
    boost::asio::steady_timer timer_;
    std::array<char, read_size> read_buffer_{};
    std::string unparsed_bytes_;
    // The response that is being written.
    std::string response_head_;
    std::string response_body_;
    // Number of bytes of the response that have been written, without those of
    // the current part.
    std::size_t response_bytes_written_ = 0;
    // Number of bytes of the current part that the kernel has accepted.
    std::size_t part_bytes_written_ = 0;
    core::held_memory response_memory_;
    // When the transfer of the response began, moved by the time that it has
    // waited for the link, which is not the reader's fault.
    core::instant response_started_at_{};
    // Empty unless the response waits for a part of the link.
    std::optional<core::instant> waits_for_link_since_;
    // The value of delivered_bytes() at the last check of the progress. Empty
    // until the first check.
    std::optional<std::int64_t> delivered_at_last_check_;
    // The link's ticket of the response, or empty if none is being paced.
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
    // True once a whole request has been received on the connection.
    bool has_made_request_ = false;
    bool writing_ = false;
    // Counts what has arrived of the current request until its response is
    // sent, and the bytes that are read ahead.
    core::held_memory request_memory_;
    // Number of bytes of the current request that the reader has parsed.
    std::size_t parsed_bytes_ = 0;
    // The start of the window in which the progress of the body is measured,
    // and the size of the body then.
    core::instant body_window_start_{};
    std::size_t body_size_at_window_start_ = 0;
    // Invariant: list_ is one of the server's lists while the connection is
    // idle or receives the head of its first request, and own_list_ at other
    // times.
    std::list<server_connection*> own_list_{this};
    std::list<server_connection*>::iterator list_position_ = own_list_.begin();
    std::list<server_connection*>* list_ = &own_list_;
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
    // Returns the memory that the requests of all connections take.
    core::byte_count buffered_bytes() const
    {
        return settings_.request_memory->used();
    }
    void set_counters(std::shared_ptr<connection_counters> it)
    {
        counters_ = std::move(it);
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
    // Closes the connection that gives way to a new one. Returns false if there
    // is none.
    bool close_idle_connection();

    boost::asio::ip::tcp::acceptor acceptor_;
    boost::asio::steady_timer accept_retry_timer_;
    handler request_handler_;
    error_response_function make_error_response_;
    server_settings settings_;
    core::endpoint local_endpoint_;
    // A connection removes itself from the set when it is destroyed.
    std::set<server_connection*> connections_;
    std::size_t requests_open_ = 0;
    // The idle connections on which no request has been made, the other idle
    // ones, and those that receive the head of their first request.
    // Invariant: those that have been in the list for longest are at the front.
    std::list<server_connection*> idle_without_request_;
    std::list<server_connection*> idle_after_request_;
    std::list<server_connection*> receiving_first_head_;
    std::shared_ptr<connection_counters> counters_ =
        std::make_shared<connection_counters>();
    core::instant last_request_received_at_{};
    bool draining_ = false;
    bool stopped_ = false;
};

} // namespace yuccafall::http

#endif
