// Implements an HTTP/1.1 server that runs on one thread. It accepts
// connections, and passes each request that a connection has read within the
// configured limits to a handler, which responds immediately or later.
#ifndef YUCCAFALL_HTTP_SERVER_HPP
#define YUCCAFALL_HTTP_SERVER_HPP

#include <functional>
#include <list>
#include <memory>
#include <set>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include "core/endpoint.hpp"
#include "core/error.hpp"
#include "core/units.hpp"
#include "http/connection_counters.hpp"
#include "http/message.hpp"
#include "http/server_connection.hpp"
#include "http/server_settings.hpp"

namespace yuccafall::http {

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
    connection_counters& counters() { return *counters_; }
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
    // All others, if busy connections give way.
    std::list<server_connection*> busy_;
    std::shared_ptr<connection_counters> counters_ =
        std::make_shared<connection_counters>();
    core::instant last_request_received_at_{};
    bool draining_ = false;
    bool stopped_ = false;
};

} // namespace yuccafall::http

#endif
