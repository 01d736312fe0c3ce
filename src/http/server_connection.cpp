// Reads requests, and passes them to the handler of the server.
#include "http/server_connection.hpp"

#include <utility>

#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>

#include "core/log.hpp"
#include "http/remote_name.hpp"
#include "http/server.hpp"
#include "transport/socket_options.hpp"

namespace yuccafall::http {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;
using core::error_kind;

namespace {

constexpr char continue_response[] = "HTTP/1.1 100 Continue\r\n\r\n";

// RFC 9112 section 2.2 asks a server to ignore empty lines before a request.
// Returns true if more bytes are needed to tell an empty line from a request.
bool skip_empty_lines(std::string& buffer)
{
    std::size_t skipped = 0;
    while (buffer.compare(skipped, 2, "\r\n") == 0)
    {
        skipped += 2;
    }
    buffer.erase(0, skipped);
    return buffer.empty() || buffer == "\r";
}

} // namespace

server_connection::server_connection(std::shared_ptr<server> owning_server,
                                     tcp::socket socket)
    : server_(std::move(owning_server)), socket_(std::move(socket)),
      timer_(socket_.get_executor()),
      response_(socket_, *server_,
                {[this] { on_response_written(); }, [this] { close(); }})
{
    transport::set_socket_options(socket_);
    server_->connections_.insert(this);
    core::add(server_->counters_->open);
}

server_connection::~server_connection()
{
    open_ = false;
    phase_ = phase::closing;
    update_list();
    set_counts_as_open(false);
    server_->counters_->open -= 1;
    server_->remove_connection(this);
}

void server_connection::start()
{
    enter_phase(phase::idle);
    read();
}

void server_connection::count_request_bytes()
{
    request_memory_.resize(
        core::byte_count(parsed_bytes_ + unparsed_bytes_.size()));
}

void server_connection::update_list()
{
    auto* to = &own_list_;
    if (phase_ == phase::idle)
    {
        to = has_made_request_ ? &server_->idle_after_request_
                               : &server_->idle_without_request_;
    }
    else if (phase_ == phase::head && !has_made_request_)
    {
        to = &server_->receiving_first_head_;
    }
    else if (open_ && server_->settings_.busy_connections_give_way)
    {
        to = &server_->busy_;
    }
    to->splice(to->end(), *list_, list_position_);
    list_ = to;
}

void server_connection::set_counts_as_open(bool it)
{
    if (std::exchange(counts_as_open_, it) != it)
    {
        server_->requests_open_ += it ? 1 : -1;
    }
}

void server_connection::enter_phase(phase it)
{
    phase_ = it;
    update_list();
    switch (it)
    {
    case phase::idle:
        start_timeout(server_->settings_.idle_timeout);
        return;
    case phase::head:
    case phase::body:
        start_timeout(server_->settings_.head_timeout);
        return;
    case phase::responding:
        timer_.cancel();
        return;
    case phase::closing:
        start_timeout(lingering_close_timeout);
        return;
    }
}

void server_connection::start_timeout(core::milliseconds timeout)
{
    timer_.expires_after(timeout);
    timer_.async_wait([weak = weak_from_this()](error_code const& ec) {
        if (auto const self = weak.lock(); self && !ec)
        {
            self->on_timeout();
        }
    });
}

void server_connection::on_timeout()
{
    if (phase_ == phase::head || phase_ == phase::body)
    {
        send_error({error_kind::request_timeout,
                    "the request was not received before the timeout"});
        return;
    }
    if (phase_ == phase::responding)
    {
        check_response_progress();
        return;
    }
    close();
}

void server_connection::read()
{
    bool const read_ahead_full = phase_ == phase::responding &&
                                 unparsed_bytes_.size() > max_pipelined_bytes;
    if (!open_ || read_ahead_full || std::exchange(read_pending_, true))
    {
        return;
    }
    socket_.async_read_some(
        asio::buffer(read_buffer_),
        [self = shared_from_this()](error_code const& ec, std::size_t n) {
            self->read_pending_ = false;
            if (ec)
            {
                self->on_caller_disconnected();
                return;
            }
            self->on_data_received(n);
        });
}

void server_connection::on_data_received(std::size_t n)
{
    if (phase_ == phase::closing)
    {
        // Bytes that arrive after the last response are discarded, since no
        // further request is read.
        read();
        return;
    }
    unparsed_bytes_.append(read_buffer_.data(), n);
    if (phase_ == phase::responding)
    {
        count_request_bytes();
        read();
        return;
    }
    parse_received_bytes();
}

// Continues to parse the current request with the bytes in unparsed_bytes_.
void server_connection::parse_received_bytes()
{
    bool const needs_more_data = phase_ == phase::idle
                                     ? skip_empty_lines(unparsed_bytes_)
                                     : unparsed_bytes_.empty();
    if (needs_more_data)
    {
        read();
        return;
    }
    if (phase_ == phase::idle)
    {
        // The limits may have changed since the last request.
        reader_.emplace(server_->settings_.sizes);
        request_memory_.set_part(server_->settings_.request_memory);
        parsed_bytes_ = 0;
        body_window_start_ = {};
        enter_phase(phase::head);
    }
    auto const received = unparsed_bytes_.size();
    auto const status = reader_->parse(unparsed_bytes_);
    parsed_bytes_ += received - unparsed_bytes_.size();
    count_request_bytes();
    if (!status)
    {
        send_error(status.error());
        return;
    }
    if (*status == parse_progress::complete)
    {
        on_request_complete();
        return;
    }
    if (!has_room_for_request())
    {
        return;
    }
    if (reader_->head_complete())
    {
        // Each received part of the body restarts the timeout.
        enter_phase(phase::body);
        if (!has_body_progress())
        {
            return;
        }
        on_head_complete();
    }
    if (phase_ == phase::head || phase_ == phase::body)
    {
        read();
    }
}

void server_connection::on_head_complete()
{
    if (std::exchange(head_handled_, true))
    {
        return;
    }
    if (reader_->expects_continue())
    {
        // This write does not block, since the response fits into the socket's
        // send buffer, which is empty between requests.
        error_code ignored;
        socket_.write_some(
            asio::buffer(continue_response, sizeof continue_response - 1),
            ignored);
    }
}

bool server_connection::has_room_for_request()
{
    auto const& part = *server_->settings_.request_memory;
    auto const stated =
        reader_->head_complete() ? reader_->stated_body_size() : 0;
    if (part.has_room(core::byte_count(0)) && stated <= part.limit().value())
    {
        return true;
    }
    core::add(server_->counters_->requests_without_memory);
    reader_.reset();
    unparsed_bytes_ = {};
    request_memory_.release();
    send_error({error_kind::overloaded,
                "the buffered requests exceed the memory limit"});
    return false;
}

bool server_connection::has_body_progress()
{
    auto const& settings = server_->settings_;
    auto const now = core::boot_clock::now();
    auto const size = reader_->body_size();
    if (body_window_start_ == core::instant{})
    {
        body_window_start_ = now;
        body_size_at_window_start_ = size;
        return true;
    }
    if (now - body_window_start_ < settings.transfer_window)
    {
        return true;
    }
    auto const received = size - body_size_at_window_start_;
    body_window_start_ = now;
    body_size_at_window_start_ = size;
    if (received >= settings.min_transfer().value())
    {
        return true;
    }
    core::add(server_->counters_->slow_bodies_ended);
    if (core::admit_request_line(core::request_event::exceptional))
    {
        core::log_event(core::log_level::info, "slow_body_ended",
                        {{"remote", remote_name(socket_)},
                         {"received", size},
                         {"received_in_window", received}});
    }
    reader_.reset();
    request_memory_.release();
    send_error({error_kind::request_timeout,
                "the body arrives at less than the minimum rate"});
    return false;
}

void server_connection::on_request_complete()
{
    request_received_at_ = core::boot_clock::now();
    auto message = reader_->release();
    keep_alive_ = message.keep_alive;
    is_head_request_ = message.method == "HEAD";
    has_made_request_ = true;
    set_counts_as_open(true);
    server_->last_request_received_at_ = request_received_at_;
    enter_phase(phase::responding);
    // Reading detects a caller that disconnects while the request is being
    // handled.
    read();
    if (!server_->settings().drops_abandoned_requests)
    {
        server_->request_handler_(shared_from_this(), std::move(message));
        return;
    }
    // A caller may have left already if this process was delayed. The read
    // detects that before the posted handler runs.
    asio::post(
        socket_.get_executor(),
        [self = shared_from_this(), message = std::move(message)]() mutable {
            if (self->open_)
            {
                self->server_->request_handler_(self, std::move(message));
            }
        });
}

void server_connection::send_error(core::error const& why)
{
    if (phase_ == phase::responding)
    {
        return;
    }
    enter_phase(phase::responding);
    auto const it = server_->make_error_response_(why);
    write(serialize(it, {false, false}), {}, true);
}

void server_connection::send_response(response it)
{
    if (phase_ != phase::responding)
    {
        return;
    }
    disconnect_handler_ = nullptr;
    parsed_bytes_ = 0;
    count_request_bytes();
    bool const keep_alive = keep_alive_ && it.keep_alive && !server_->draining_;
    auto head = serialize_head(it, {keep_alive, is_head_request_});
    if (is_head_request_)
    {
        it.body = {};
    }
    write(std::move(head), std::move(it.body), !keep_alive);
}

void server_connection::write(std::string head, std::string body,
                              bool close_after_write)
{
    if (!open_)
    {
        return;
    }
    close_after_response_ = close_after_write;
    if (server_->settings_.min_transfer_rate.value() > 0)
    {
        start_timeout(server_->settings_.transfer_window);
    }
    response_.start(shared_from_this(), std::move(head), std::move(body));
}

void server_connection::check_response_progress()
{
    if (response_.check_progress())
    {
        start_timeout(server_->settings_.transfer_window);
    }
}

void server_connection::on_response_written()
{
    set_counts_as_open(false);
    if (close_after_response_)
    {
        start_lingering_close();
        return;
    }
    head_handled_ = false;
    enter_phase(phase::idle);
    parse_received_bytes();
}

// Closing a socket that has unread bytes resets the connection, and the peer
// may then lose the response before it has read it. The server therefore shuts
// down only the sending direction and reads until the peer closes the
// connection or the timeout expires.
void server_connection::start_lingering_close()
{
    enter_phase(phase::closing);
    error_code ignored;
    socket_.shutdown(tcp::socket::shutdown_send, ignored);
    unparsed_bytes_ = {};
    read();
}

void server_connection::on_caller_disconnected()
{
    if (phase_ == phase::responding && disconnect_handler_)
    {
        std::exchange(disconnect_handler_, nullptr)();
    }
    close();
}

void server_connection::give_way()
{
    core::add(server_->counters_->idle_closed);
    if (core::admit_request_line(core::request_event::exceptional))
    {
        core::log_event(core::log_level::info, "idle_connection_closed",
                        {{"remote", remote_name(socket_)},
                         {"made_request", has_made_request_},
                         {"receiving", phase_ == phase::head},
                         {"open", server_->connections()}});
    }
    close();
}

void server_connection::close()
{
    // The handler that waits for a part of the link may hold the last reference
    // to this object.
    auto const self = shared_from_this();
    open_ = false;
    phase_ = phase::closing;
    update_list();
    response_.release();
    unparsed_bytes_ = {};
    request_memory_.release();
    set_counts_as_open(false);
    timer_.cancel();
    error_code ignored;
    socket_.close(ignored);
}

} // namespace yuccafall::http
