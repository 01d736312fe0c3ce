// Connects, writes a request and reads its response.
#include "http/client_connection.hpp"

#include <sys/socket.h>

#include <cerrno>
#include <utility>

#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

#include "transport/socket_options.hpp"

namespace yuccafall::http {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

client_connection::client_connection(asio::any_io_executor const& executor)
    : socket_(executor), timer_(executor)
{}

void client_connection::connect(core::endpoint const& to,
                                core::milliseconds timeout,
                                connect_handler done)
{
    connected_ = std::move(done);
    timer_.expires_after(timeout);
    timer_.async_wait([self = shared_from_this()](error_code const& ec) {
        if (!ec && self->connected_)
        {
            self->spent_ = true;
            error_code ignored;
            self->socket_.close(ignored);
            std::exchange(self->connected_, nullptr)(
                core::failure(core::error_kind::io, "connect timeout"));
        }
    });
    error_code ec;
    auto const address = asio::ip::make_address_v4(to.address.value(), ec);
    socket_.async_connect(
        tcp::endpoint(address, to.port.value()),
        [self = shared_from_this()](error_code const& failed) {
            if (!self->connected_)
            {
                return;
            }
            self->timer_.cancel();
            auto const handler = std::exchange(self->connected_, nullptr);
            if (failed)
            {
                self->spent_ = true;
                handler(core::failure(core::error_kind::io, failed.message()));
                return;
            }
            transport::set_socket_options(self->socket_);
            handler({});
        });
}

void client_connection::exchange(std::string message, exchange_terms terms,
                                 exchange_handler done)
{
    terms_ = std::move(terms);
    done_ = std::move(done);
    reader_.emplace(terms_.sizes, terms_.answers_head);
    outgoing_ = std::move(message);
    strangers_ = 0;
    watch_time(terms_.timeout);
    writing_ = true;
    asio::async_write(
        socket_, asio::buffer(outgoing_),
        [self = shared_from_this()](error_code const& ec, std::size_t) {
            self->writing_ = false;
            self->outgoing_ = {};
            // The read tells what became of the exchange: a
            // response may have come before the write failed.
            self->spent_ = self->spent_ || ec.failed();
        });
    read();
}

void client_connection::watch_time(core::milliseconds timeout)
{
    if (timeout.count() <= 0)
    {
        return;
    }
    timer_.expires_after(timeout);
    timer_.async_wait([self = shared_from_this()](error_code const& ec) {
        if (!ec && self->done_)
        {
            self->fail(failure_cause::timed_out, "no answer in time");
        }
    });
}

void client_connection::read()
{
    if (spent_ || std::exchange(reading_, true))
    {
        return;
    }
    socket_.async_read_some(
        asio::buffer(chunk_),
        [self = shared_from_this()](error_code const& ec, std::size_t n) {
            self->reading_ = false;
            if (!self->done_)
            {
                self->spent_ = self->spent_ || ec.failed() || n > 0;
                return;
            }
            if (ec)
            {
                self->read_ended(ec);
                return;
            }
            self->received(n);
        });
}

void client_connection::received(std::size_t n)
{
    buffer_.append(chunk_.data(), n);
    for (;;)
    {
        auto const step = reader_->take(buffer_);
        if (!step)
        {
            fail(failure_cause::broken_answer, step.error().detail);
            return;
        }
        if (*step == progress::needs_more)
        {
            read();
            return;
        }
        auto answer = reader_->release();
        if (!terms_.belongs || terms_.belongs(answer))
        {
            finish(std::move(answer));
            return;
        }
        if (++strangers_ > most_strangers || !answer.keep_alive)
        {
            fail(failure_cause::broken_answer,
                 "only answers to other requests");
            return;
        }
        reader_.emplace(terms_.sizes, terms_.answers_head);
    }
}

void client_connection::read_ended(error_code const& ec)
{
    if (ec == asio::error::eof && reader_->started())
    {
        auto const step = reader_->end();
        if (step)
        {
            auto answer = reader_->release();
            answer.keep_alive = false;
            if (!terms_.belongs || terms_.belongs(answer))
            {
                finish(std::move(answer));
                return;
            }
        }
    }
    fail(reader_->started() ? failure_cause::broken_answer
                            : failure_cause::closed_unanswered,
         ec.message());
}

void client_connection::fail(failure_cause cause, std::string detail)
{
    spent_ = true;
    error_code ignored;
    socket_.close(ignored);
    finish(tl::unexpected(exchange_failure{cause, std::move(detail)}));
}

void client_connection::finish(exchange_result outcome)
{
    timer_.cancel();
    idle_since_ = core::boot_clock::now();
    if (outcome && !outcome->keep_alive)
    {
        spent_ = true;
    }
    reader_.reset();
    std::exchange(done_, nullptr)(std::move(outcome));
}

void client_connection::close()
{
    spent_ = true;
    timer_.cancel();
    error_code ignored;
    socket_.close(ignored);
    if (connected_)
    {
        asio::post(socket_.get_executor(), [handler = std::exchange(connected_,
                                                                    nullptr)] {
            handler(core::failure(core::error_kind::canceled, "closed"));
        });
    }
    if (done_)
    {
        asio::post(
            socket_.get_executor(), [handler = std::exchange(done_, nullptr)] {
                handler(tl::unexpected(
                    exchange_failure{failure_cause::canceled, "closed"}));
            });
    }
}

bool client_connection::reusable()
{
    if (spent_ || writing_ || done_ || !buffer_.empty())
    {
        return false;
    }
    char byte = 0;
    auto const n = ::recv(socket_.native_handle(), &byte, sizeof byte,
                          MSG_PEEK | MSG_DONTWAIT);
    return n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

} // namespace yuccafall::http
