// Accepts connections, reads requests and writes responses.
#include "http/server.hpp"

#include <linux/sockios.h>
#include <sys/ioctl.h>

#include <algorithm>
#include <utility>

#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
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

// Largest number of bytes that are passed to the kernel at once.
constexpr std::size_t max_write_size = 256UL * 1024;

std::uint64_t bytes_in(core::bytes_per_second rate, core::milliseconds time)
{
    return rate.value() * static_cast<std::uint64_t>(time.count()) / 1000;
}

std::string remote_name(tcp::socket const& socket)
{
    error_code ec;
    auto const it = socket.remote_endpoint(ec);
    return ec ? std::string("unknown")
              : fmt::format("{}:{}", it.address().to_string(), it.port());
}

} // namespace

server_connection::server_connection(std::shared_ptr<server> owning_server,
                                     tcp::socket socket)
    : server_(std::move(owning_server)), socket_(std::move(socket)),
      timer_(socket_.get_executor())
{
    transport::set_socket_options(socket_);
    server_->connections_.insert(this);
    core::add(server_->counters_->open);
}

server_connection::~server_connection()
{
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
    if (received >=
        bytes_in(settings.min_transfer_rate, settings.transfer_window))
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
    response_head_ = std::move(head);
    response_body_ = std::move(body);
    response_bytes_written_ = 0;
    part_bytes_written_ = 0;
    writing_ = true;
    delivered_at_last_check_.reset();
    response_started_at_ = core::boot_clock::now();
    hold_response_memory();
    if (server_->settings_.min_transfer_rate.value() > 0)
    {
        start_timeout(server_->settings_.transfer_window);
    }
    auto const size = response_head_.size() + response_body_.size();
    if (server_->settings_.link &&
        size > transport::max_unpaced_message.value())
    {
        ticket_ = server_->settings_.link->open(core::byte_count(size));
        write_next_part(close_after_write);
        return;
    }
    write_part(size, close_after_write);
}

void server_connection::hold_response_memory()
{
    auto const& part = server_->settings_.response_memory;
    core::byte_count const size(response_head_.size() + response_body_.size());
    if (part)
    {
        // A short response, such as a refusal, ends no reader that keeps up.
        // Without room, the response is held all the same: what is reserved for
        // responses that have not arrived takes no memory yet.
        part->make_room(size,
                        size <= transport::max_unpaced_message
                            ? core::memory_part::eviction::slow_holders
                            : core::memory_part::eviction::all_holders,
                        response_started_at_);
    }
    response_memory_.set_part(part);
    response_memory_.resize(size);
    response_memory_.set_holder(
        {[this] { return response_progress(); },
         [this] {
             core::add(server_->counters_->responses_ended_for_memory);
             end_response("memory");
         }});
}

void server_connection::free_response()
{
    writing_ = false;
    waits_for_link_since_.reset();
    response_head_ = {};
    response_body_ = {};
    response_memory_.release();
}

std::int64_t server_connection::delivered_bytes()
{
    int unacknowledged = 0;
    auto const accepted = response_bytes_written_ + part_bytes_written_;
    // NOLINTNEXTLINE(cppcoreguidelines-pro-type-vararg)
    if (::ioctl(socket_.native_handle(), SIOCOUTQ, &unacknowledged) != 0)
    {
        // The socket is closed, and the pending write is about to fail.
        return static_cast<std::int64_t>(accepted);
    }
    return static_cast<std::int64_t>(accepted) - unacknowledged;
}

core::transfer_progress server_connection::response_progress()
{
    auto const size = response_head_.size() + response_body_.size();
    auto const delivered = static_cast<std::uint64_t>(
        std::max<std::int64_t>(delivered_bytes(), 0));
    auto const waited = waits_for_link_since_
                            ? core::boot_clock::now() - *waits_for_link_since_
                            : core::duration::zero();
    return {core::byte_count(delivered),
            core::byte_count(size - std::min<std::uint64_t>(delivered, size)),
            response_started_at_ + waited};
}

void server_connection::check_response_progress()
{
    if (!writing_)
    {
        return;
    }
    auto const& settings = server_->settings_;
    if (waits_for_link_since_)
    {
        delivered_at_last_check_.reset();
        start_timeout(settings.transfer_window);
        return;
    }
    auto const delivered = delivered_bytes();
    auto const previous = std::exchange(delivered_at_last_check_, delivered);
    auto const min_progress = static_cast<std::int64_t>(
        bytes_in(settings.min_transfer_rate, settings.transfer_window));
    if (previous && delivered - *previous < min_progress)
    {
        core::add(server_->counters_->slow_responses_ended);
        end_response("slow_reader");
        return;
    }
    start_timeout(settings.transfer_window);
}

void server_connection::end_response(char const* reason)
{
    if (core::admit_request_line(core::request_event::exceptional))
    {
        auto const progress = response_progress();
        core::log_event(
            core::log_level::info, "response_ended",
            {{"remote", remote_name(socket_)},
             {"reason", reason},
             {"delivered", progress.delivered.value()},
             {"held", response_memory_.size().value()},
             {"took_ms", std::chrono::duration_cast<core::milliseconds>(
                             core::boot_clock::now() - progress.since)
                             .count()}});
    }
    error_code ignored;
    socket_.set_option(asio::socket_base::linger(true, 0), ignored);
    close();
}

std::array<asio::const_buffer, 2>
server_connection::unwritten_bytes(std::size_t size) const
{
    auto const done = response_bytes_written_;
    auto const head_done = std::min(done, response_head_.size());
    auto const head =
        asio::buffer(response_head_.data() + head_done,
                     std::min(size, response_head_.size() - head_done));
    auto const body = asio::buffer(response_body_.data() + (done - head_done),
                                   size - head.size());
    return {head, body};
}

void server_connection::write_next_part(bool close_after_write)
{
    waits_for_link_since_ = core::boot_clock::now();
    server_->settings_.link->request(
        *ticket_,
        [self = shared_from_this(), close_after_write](core::byte_count size) {
            self->response_started_at_ +=
                core::boot_clock::now() - *self->waits_for_link_since_;
            self->waits_for_link_since_.reset();
            self->write_part(size.value(), close_after_write);
        });
}

void server_connection::write_part(std::size_t size, bool close_after_write)
{
    // A connection that has been closed has freed its response.
    if (!open_)
    {
        return;
    }
    asio::async_write(
        socket_, unwritten_bytes(size),
        [self = shared_from_this()](error_code const& ec, std::size_t n) {
            self->part_bytes_written_ = n;
            return ec ? std::size_t{0} : max_write_size;
        },
        [self = shared_from_this(), close_after_write](error_code const& ec,
                                                       std::size_t n) {
            if (ec || !self->open_)
            {
                self->close();
                return;
            }
            self->part_bytes_written_ = 0;
            self->response_bytes_written_ += n;
            if (self->response_bytes_written_ <
                self->response_head_.size() + self->response_body_.size())
            {
                self->write_next_part(close_after_write);
                return;
            }
            self->on_response_written(close_after_write);
        });
}

void server_connection::on_response_written(bool close_after_write)
{
    free_response();
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
    free_response();
    unparsed_bytes_ = {};
    request_memory_.release();
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
        if (self->connections_.size() <
                self->settings_.max_connections.value() ||
            self->close_idle_connection())
        {
            std::make_shared<server_connection>(self, std::move(socket))
                ->start();
        }
        else
        {
            core::add(self->counters_->refused);
            if (core::admit_request_line(core::request_event::exceptional))
            {
                core::log_event(core::log_level::warning, "connection_refused",
                                {{"remote", remote_name(socket)},
                                 {"open", self->connections_.size()}});
            }
        }
        self->accept();
    });
}

// A connection on which no request has been made goes first, since callers
// expect a connection that they have used to stay open. One that sends its
// first request goes last, since its caller may be about to complete it.
bool server::close_idle_connection()
{
    auto const& from = !idle_without_request_.empty() ? idle_without_request_
                       : !idle_after_request_.empty() ? idle_after_request_
                                                      : receiving_first_head_;
    if (from.empty())
    {
        return false;
    }
    from.front()->give_way();
    return true;
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
