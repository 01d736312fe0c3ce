// One connection of an HTTP server. It reads one request after the other within
// the limits of the server, passes each to the server's handler and sends the
// response.
#ifndef YUCCAFALL_HTTP_SERVER_CONNECTION_HPP
#define YUCCAFALL_HTTP_SERVER_CONNECTION_HPP

#include <array>
#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <string>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include "core/error.hpp"
#include "core/memory_part.hpp"
#include "core/units.hpp"
#include "http/message.hpp"
#include "http/readers.hpp"
#include "http/response_transfer.hpp"

namespace yuccafall::http {

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
    void on_response_written();
    void check_response_progress();
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
    response_transfer response_;
    bool close_after_response_ = false;
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
    // idle or receives the head of its first request, and, if busy connections
    // give way, as long as it is open. It is own_list_ at other times.
    std::list<server_connection*> own_list_{this};
    std::list<server_connection*>::iterator list_position_ = own_list_.begin();
    std::list<server_connection*>* list_ = &own_list_;
};

} // namespace yuccafall::http

#endif
