// Accepts connections and drives the request readers.
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

// accept() fails at once while the process is out of descriptors; trying again
// without a pause would spin.
constexpr core::milliseconds accept_pause{100};

constexpr char continue_response[] = "HTTP/1.1 100 Continue\r\n\r\n";

} // namespace

server_connection::server_connection(std::shared_ptr<server> owner,
                                     tcp::socket socket)
    : owner_(std::move(owner)), socket_(std::move(socket)),
      timer_(socket_.get_executor())
{
    transport::set_socket_options(socket_);
    owner_->connections_.insert(this);
}

server_connection::~server_connection()
{
    hold(0);
    owner_->forget(this);
}

void server_connection::start()
{
    reader_.emplace(owner_->terms_.sizes);
    enter(phase::idle);
    read();
}

void server_connection::hold(std::size_t bytes)
{
    owner_->held_bytes_ += bytes;
    owner_->held_bytes_ -= std::exchange(held_, bytes);
}

void server_connection::enter(phase it)
{
    phase_ = it;
    switch (it)
    {
    case phase::idle:
        watch_time(owner_->terms_.idle_timeout);
        return;
    case phase::head:
    case phase::body:
        watch_time(owner_->terms_.head_timeout);
        return;
    case phase::answering:
        timer_.cancel();
        return;
    case phase::closing:
        watch_time(linger_time);
        return;
    }
}

void server_connection::watch_time(core::milliseconds timeout)
{
    timer_.expires_after(timeout);
    timer_.async_wait([weak = weak_from_this()](error_code const& ec) {
        if (auto const self = weak.lock(); self && !ec)
        {
            self->time_passed();
        }
    });
}

void server_connection::time_passed()
{
    if (phase_ == phase::head || phase_ == phase::body)
    {
        refuse({error_kind::request_timeout, "the request came too slowly"});
        return;
    }
    if (phase_ != phase::answering)
    {
        close();
    }
}

void server_connection::read()
{
    bool const full =
        phase_ == phase::answering && buffer_.size() > most_pipelined;
    if (!open_ || full || std::exchange(reading_, true))
    {
        return;
    }
    socket_.async_read_some(
        asio::buffer(chunk_),
        [self = shared_from_this()](error_code const& ec, std::size_t n) {
            self->reading_ = false;
            if (ec)
            {
                self->caller_left();
                return;
            }
            self->received(n);
        });
}

void server_connection::received(std::size_t n)
{
    if (phase_ == phase::closing)
    {
        // What comes after the last answer belongs to no request.
        read();
        return;
    }
    buffer_.append(chunk_.data(), n);
    if (phase_ == phase::answering)
    {
        read();
        return;
    }
    proceed();
}

// Reads on in the request that is in the buffer.
void server_connection::proceed()
{
    if (buffer_.empty())
    {
        read();
        return;
    }
    if (phase_ == phase::idle)
    {
        enter(phase::head);
    }
    auto const step = reader_->take(buffer_);
    if (!step)
    {
        refuse(step.error());
        return;
    }
    if (*step == progress::complete)
    {
        request_complete();
        return;
    }
    if (reader_->head_done())
    {
        // Each piece of the body renews the time for the next one.
        enter(phase::body);
        head_ended();
    }
    if (phase_ == phase::head || phase_ == phase::body)
    {
        read();
    }
}

void server_connection::head_ended()
{
    if (std::exchange(continued_, true))
    {
        return;
    }
    if (owner_->held_bytes_ > owner_->terms_.held_bytes.value())
    {
        refuse({error_kind::overloaded, "too many request bytes in memory"});
        return;
    }
    if (reader_->expects_continue())
    {
        // Small enough for the socket's buffer, which is empty between
        // requests.
        error_code ignored;
        socket_.write_some(
            asio::buffer(continue_response, sizeof continue_response - 1),
            ignored);
    }
}

void server_connection::request_complete()
{
    request_ended_ = core::boot_clock::now();
    auto message = reader_->release();
    keep_alive_ = message.keep_alive;
    head_only_ = message.method == "HEAD";
    hold(message.body.size());
    ++owner_->requests_open_;
    owner_->last_request_ = request_ended_;
    enter(phase::answering);
    // Notices the caller's leaving while the request is worked on.
    read();
    owner_->handle_(shared_from_this(), std::move(message));
}

void server_connection::refuse(core::error const& why)
{
    if (phase_ == phase::answering)
    {
        return;
    }
    enter(phase::answering);
    auto const it = owner_->refuse_(why);
    write(serialize(it, {false, false}), true);
}

void server_connection::answer(response const& it)
{
    if (phase_ != phase::answering)
    {
        return;
    }
    gone_ = nullptr;
    --owner_->requests_open_;
    hold(0);
    bool const keep = keep_alive_ && it.keep_alive && !owner_->leaving_;
    write(serialize(it, {keep, head_only_}), !keep);
}

void server_connection::write(std::string bytes, bool then_close)
{
    if (!open_)
    {
        return;
    }
    outgoing_ = std::move(bytes);
    asio::async_write(socket_, asio::buffer(outgoing_),
                      [self = shared_from_this(),
                       then_close](error_code const& ec, std::size_t) {
                          self->outgoing_ = {};
                          if (ec)
                          {
                              self->close();
                              return;
                          }
                          if (then_close)
                          {
                              self->linger();
                              return;
                          }
                          self->reader_.emplace(self->owner_->terms_.sizes);
                          self->continued_ = false;
                          self->enter(phase::idle);
                          self->proceed();
                      });
}

// Closing while bytes are unread resets the connection, which could take the
// answer from the peer before it has read it.
void server_connection::linger()
{
    enter(phase::closing);
    error_code ignored;
    socket_.shutdown(tcp::socket::shutdown_send, ignored);
    buffer_ = {};
    read();
}

void server_connection::caller_left()
{
    if (phase_ == phase::answering && gone_)
    {
        --owner_->requests_open_;
        hold(0);
        std::exchange(gone_, nullptr)();
    }
    close();
}

void server_connection::close()
{
    open_ = false;
    phase_ = phase::closing;
    timer_.cancel();
    error_code ignored;
    socket_.close(ignored);
}

server::server(asio::io_context& context, handler handle, refusal refuse)
    : acceptor_(context), retry_timer_(context), handle_(std::move(handle)),
      refuse_(std::move(refuse))
{}

core::result<std::shared_ptr<server>> server::listen(asio::io_context& context,
                                                     core::endpoint const& at,
                                                     handler handle,
                                                     refusal refuse)
{
    auto it =
        std::make_shared<server>(context, std::move(handle), std::move(refuse));
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
    local_ = {at.address, core::port_number(acceptor_.local_endpoint().port())};
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
            self->retry_timer_.expires_after(accept_pause);
            self->retry_timer_.async_wait(
                [self](error_code const&) { self->accept(); });
            return;
        }
        if (self->connections_.size() < self->terms_.most_connections.value())
        {
            std::make_shared<server_connection>(self, std::move(socket))
                ->start();
        }
        self->accept();
    });
}

void server::start_leaving()
{
    leaving_ = true;
}

void server::stop()
{
    stopped_ = true;
    error_code ignored;
    acceptor_.close(ignored);
    retry_timer_.cancel();
    auto const open = connections_;
    for (auto* it : open)
    {
        it->close();
    }
}

} // namespace yuccafall::http
