// Accepts connections, reads requests and writes responses.
#include "http/server.hpp"

#include <utility>

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <fmt/format.h>

#include "core/log.hpp"
#include "transport/socket_options.hpp"

namespace yuccafall::http {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;
using core::error_kind;

namespace {

// While the process has no free file descriptors, accept() fails immediately.
// A retry without a delay would be a busy loop.
constexpr core::milliseconds accept_retry_delay{100};

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
      timer_(socket_.get_executor())
{
    transport::set_socket_options(socket_);
    server_->connections_.insert(this);
}

server_connection::~server_connection()
{
    set_buffered_bytes(0);
    set_counts_as_open(false);
    server_->remove_connection(this);
}

void server_connection::start()
{
    enter_phase(phase::idle);
    read();
}

void server_connection::set_buffered_bytes(std::size_t bytes)
{
    server_->buffered_bytes_ += bytes;
    server_->buffered_bytes_ -= std::exchange(buffered_bytes_, bytes);
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
    if (phase_ != phase::responding)
    {
        close();
    }
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
        enter_phase(phase::head);
    }
    auto const status = reader_->parse(unparsed_bytes_);
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
    if (reader_->head_complete())
    {
        // Each received part of the body restarts the timeout.
        enter_phase(phase::body);
        set_buffered_bytes(reader_->body_size());
        if (!has_room_for_body())
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

bool server_connection::has_room_for_body()
{
    auto const limit = server_->settings_.request_memory_limit.value();
    if (server_->buffered_bytes_ <= limit &&
        reader_->stated_body_size() <= limit)
    {
        return true;
    }
    set_buffered_bytes(0);
    reader_.reset();
    send_error({error_kind::overloaded,
                "the buffered requests exceed the memory limit"});
    return false;
}

void server_connection::on_request_complete()
{
    request_received_at_ = core::boot_clock::now();
    auto message = reader_->release();
    keep_alive_ = message.keep_alive;
    is_head_request_ = message.method == "HEAD";
    set_buffered_bytes(message.body.size());
    set_counts_as_open(true);
    server_->last_request_received_at_ = request_received_at_;
    enter_phase(phase::responding);
    // Reading detects a caller that disconnects while the request is being
    // handled.
    read();
    server_->request_handler_(shared_from_this(), std::move(message));
}

void server_connection::send_error(core::error const& why)
{
    if (phase_ == phase::responding)
    {
        return;
    }
    enter_phase(phase::responding);
    auto const it = server_->make_error_response_(why);
    write(serialize(it, {false, false}), true);
}

void server_connection::send_response(response const& it)
{
    if (phase_ != phase::responding)
    {
        return;
    }
    disconnect_handler_ = nullptr;
    set_buffered_bytes(0);
    bool const keep_alive = keep_alive_ && it.keep_alive && !server_->draining_;
    write(serialize(it, {keep_alive, is_head_request_}), !keep_alive);
}

void server_connection::write(std::string bytes, bool close_after_write)
{
    if (!open_)
    {
        return;
    }
    response_bytes_ = std::move(bytes);
    response_bytes_written_ = 0;
    auto const size = response_bytes_.size();
    if (server_->settings_.link &&
        size > transport::max_unpaced_message.value())
    {
        ticket_ = server_->settings_.link->open(core::byte_count(size));
        write_next_part(close_after_write);
        return;
    }
    write_part(size, close_after_write);
}

void server_connection::write_next_part(bool close_after_write)
{
    server_->settings_.link->request(
        *ticket_,
        [self = shared_from_this(), close_after_write](core::byte_count size) {
            self->write_part(size.value(), close_after_write);
        });
}

void server_connection::write_part(std::size_t size, bool close_after_write)
{
    asio::async_write(
        socket_,
        asio::buffer(response_bytes_.data() + response_bytes_written_, size),
        [self = shared_from_this(), close_after_write](error_code const& ec,
                                                       std::size_t n) {
            self->response_bytes_written_ += n;
            if (ec || !self->open_)
            {
                self->close();
                return;
            }
            if (self->response_bytes_written_ < self->response_bytes_.size())
            {
                self->write_next_part(close_after_write);
                return;
            }
            self->on_response_written(close_after_write);
        });
}

void server_connection::on_response_written(bool close_after_write)
{
    response_bytes_ = {};
    release_ticket();
    set_counts_as_open(false);
    if (close_after_write)
    {
        start_lingering_close();
        return;
    }
    head_handled_ = false;
    enter_phase(phase::idle);
    parse_received_bytes();
}

void server_connection::release_ticket()
{
    if (ticket_)
    {
        server_->settings_.link->close(*ticket_);
        ticket_.reset();
    }
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
        set_buffered_bytes(0);
        std::exchange(disconnect_handler_, nullptr)();
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
    release_ticket();
    set_counts_as_open(false);
    timer_.cancel();
    error_code ignored;
    socket_.close(ignored);
}

server::server(asio::io_context& context, handler request_handler,
               error_response_function make_error_response)
    : acceptor_(context), accept_retry_timer_(context),
      request_handler_(std::move(request_handler)),
      make_error_response_(std::move(make_error_response))
{}

core::result<std::shared_ptr<server>>
server::listen(asio::io_context& context, core::endpoint const& at,
               handler request_handler,
               error_response_function make_error_response)
{
    auto it = std::make_shared<server>(context, std::move(request_handler),
                                       std::move(make_error_response));
    if (auto opened = it->open(at); !opened)
    {
        return tl::unexpected(opened.error());
    }
    it->accept();
    return it;
}

core::result<void> server::open(core::endpoint const& at)
{
    error_code ec;
    auto const address = asio::ip::make_address_v4(at.address.value(), ec);
    if (!ec)
    {
        acceptor_.open(tcp::v4(), ec);
    }
    if (!ec)
    {
        acceptor_.set_option(tcp::acceptor::reuse_address(true), ec);
    }
    if (!ec)
    {
        acceptor_.bind(tcp::endpoint(address, at.port.value()), ec);
    }
    if (!ec)
    {
        acceptor_.listen(asio::socket_base::max_listen_connections, ec);
    }
    if (ec)
    {
        return core::failure(
            error_kind::io,
            fmt::format("listen on {}: {}", core::to_string(at), ec.message()));
    }
    local_endpoint_ = {at.address,
                       core::port_number(acceptor_.local_endpoint().port())};
    return {};
}

void server::accept()
{
    acceptor_.async_accept([self = shared_from_this()](error_code const& ec,
                                                       tcp::socket socket) {
        if (self->stopped_)
        {
            return;
        }
        if (ec)
        {
            core::log_event(core::log_level::warning, "accept_failed",
                            {{"reason", ec.message()}});
            self->accept_retry_timer_.expires_after(accept_retry_delay);
            self->accept_retry_timer_.async_wait(
                [self](error_code const&) { self->accept(); });
            return;
        }
        if (self->connections_.size() < self->settings_.max_connections.value())
        {
            std::make_shared<server_connection>(self, std::move(socket))
                ->start();
        }
        self->accept();
    });
}

void server::start_draining()
{
    draining_ = true;
}

void server::stop()
{
    stopped_ = true;
    error_code ignored;
    acceptor_.close(ignored);
    accept_retry_timer_.cancel();
    auto const open = connections_;
    for (auto* it : open)
    {
        it->close();
    }
}

} // namespace yuccafall::http
