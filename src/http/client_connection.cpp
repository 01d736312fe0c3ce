// Connects to a server, writes requests and reads their responses.
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
    connect_handler_ = std::move(done);
    timer_.expires_after(timeout);
    timer_.async_wait([self = shared_from_this()](error_code const& ec) {
        if (!ec && self->connect_handler_)
        {
            self->unusable_ = true;
            error_code ignored;
            self->socket_.close(ignored);
            std::exchange(self->connect_handler_, nullptr)(core::failure(
                core::error_kind::io, "the connection attempt timed out"));
        }
    });
    error_code ec;
    auto const address = asio::ip::make_address_v4(to.address.value(), ec);
    socket_.async_connect(
        tcp::endpoint(address, to.port.value()),
        [self = shared_from_this()](error_code const& failed) {
            if (!self->connect_handler_)
            {
                return;
            }
            self->timer_.cancel();
            auto const handler = std::exchange(self->connect_handler_, nullptr);
            if (failed)
            {
                self->unusable_ = true;
                handler(core::failure(core::error_kind::io, failed.message()));
                return;
            }
            transport::set_socket_options(self->socket_);
            handler({});
        });
}

void client_connection::exchange(std::string message, exchange_options options,
                                 exchange_handler done)
{
    options_ = std::move(options);
    exchange_handler_ = std::move(done);
    reader_.emplace(options_.sizes, options_.is_head_request);
    request_bytes_ = std::move(message);
    mismatched_responses_ = 0;
    write_error_ = {};
    response_memory_.set_part(options_.memory);
    start_timeout(options_.timeout);
    write_pending_ = true;
    asio::async_write(
        socket_, asio::buffer(request_bytes_),
        [self = shared_from_this()](error_code const& ec, std::size_t) {
            self->write_pending_ = false;
            self->request_bytes_ = {};
            // A failed write does not end the exchange, since a response may
            // have arrived before. The result of the read ends it.
            self->write_error_ = ec;
            self->unusable_ = self->unusable_ || ec.failed();
        });
    read();
}

void client_connection::start_timeout(core::milliseconds timeout)
{
    if (timeout.count() <= 0)
    {
        return;
    }
    timer_.expires_after(timeout);
    timer_.async_wait([self = shared_from_this()](error_code const& ec) {
        if (!ec && self->exchange_handler_)
        {
            self->fail_exchange(
                failure_cause::timed_out,
                "the server did not respond before the timeout");
        }
    });
}

void client_connection::read()
{
    if (reading_stopped_ || std::exchange(read_pending_, true))
    {
        return;
    }
    socket_.async_read_some(
        asio::buffer(read_buffer_),
        [self = shared_from_this()](error_code const& ec, std::size_t n) {
            self->read_pending_ = false;
            if (!self->exchange_handler_)
            {
                self->unusable_ = self->unusable_ || ec.failed() || n > 0;
                return;
            }
            if (ec)
            {
                self->on_read_error(ec);
                return;
            }
            self->on_data_received(n);
        });
}

void client_connection::on_data_received(std::size_t n)
{
    unparsed_bytes_.append(read_buffer_.data(), n);
    start_timeout(options_.stall_timeout);
    for (;;)
    {
        auto const status = reader_->parse(unparsed_bytes_);
        if (!status)
        {
            reject_response(status.error());
            return;
        }
        if (*status == parse_progress::needs_more_data)
        {
            read_response();
            return;
        }
        auto response = reader_->release();
        if (!options_.matches_request || options_.matches_request(response))
        {
            finish_exchange(std::move(response));
            return;
        }
        if (++mismatched_responses_ > max_mismatched_responses ||
            !response.keep_alive)
        {
            reject_response({response_fault::other_request,
                             "the server sent only responses to other "
                             "requests"});
            return;
        }
        reader_.emplace(options_.sizes, options_.is_head_request);
        response_memory_.release();
    }
}

// A response that states its size is admitted with all of it, so that those
// that have been admitted never wait for each other. One that does not is
// admitted part by part.
core::byte_count client_connection::memory_for_next_part() const
{
    auto const stated = reader_->stated_body_size();
    if (stated > 0)
    {
        return core::byte_count(stated);
    }
    auto const received = reader_->body_size();
    return core::byte_count(received > 0 ? received + read_size : 0);
}

void client_connection::read_response()
{
    auto const size = memory_for_next_part();
    auto const held = response_memory_.size();
    if (!options_.memory || size <= held)
    {
        read();
        return;
    }
    bool const states_size = reader_->stated_body_size() > 0;
    core::byte_count const needed(size.value() - held.value());
    bool const unchecked =
        !states_size && size.value() <= unchecked_response_size;
    if (unchecked || options_.memory->can_admit(needed))
    {
        if (held.value() == 0 && !states_size)
        {
            hold_response_memory();
        }
        response_memory_.resize(size);
        read();
        return;
    }
    response_memory_.wait_for_room(
        needed, [weak = weak_from_this(), executor = socket_.get_executor()] {
            asio::post(executor, [weak] {
                auto const self = weak.lock();
                if (self && self->exchange_handler_ && !self->reading_stopped_)
                {
                    self->read_response();
                }
            });
        });
    // Without this, responses that each hold a part of the memory would wait
    // for each other until their timeouts.
    if (options_.memory->all_wait())
    {
        options_.memory->make_room(needed,
                                   core::memory_part::eviction::all_holders,
                                   core::boot_clock::now());
    }
}

void client_connection::hold_response_memory()
{
    response_started_at_ = core::boot_clock::now();
    // The rest of the response is not known. It is assumed to be as long as
    // what has arrived, so that the one that ends is the longest of those that
    // arrive equally fast.
    response_memory_.set_holder(
        {[this] {
             core::byte_count const size(reader_->body_size());
             return core::transfer_progress{size, size, response_started_at_};
         },
         [this] { end_response_for_memory(); }});
}

void client_connection::end_response_for_memory()
{
    unusable_ = true;
    reading_stopped_ = true;
    response_memory_.release();
    asio::post(socket_.get_executor(), [self = shared_from_this()] {
        if (self->exchange_handler_)
        {
            self->fail_exchange(failure_cause::out_of_memory,
                                "the memory for responses is used up");
        }
    });
}

// The kernel reports the failure of a connection to one system call only. After
// a write has got it, a read reports the end of the stream, as after a FIN. The
// write gets EPIPE rather than ECONNRESET if the FIN arrived before the reset.
bool client_connection::ended_by_server() const
{
    return !write_error_ || write_error_ == asio::error::broken_pipe;
}

void client_connection::on_read_error(error_code const& ec)
{
    if (!write_pending_)
    {
        end_response(ec);
        return;
    }
    // The write may have got the failure of the connection already. Its handler
    // is queued then, possibly after this one.
    asio::post(socket_.get_executor(), [self = shared_from_this(), ec] {
        if (self->exchange_handler_)
        {
            self->end_response(ec);
        }
    });
}

void client_connection::end_response(error_code const& ec)
{
    bool const is_end = ec == asio::error::eof && ended_by_server();
    auto const& reason = ec == asio::error::eof && !is_end ? write_error_ : ec;
    if (!reader_->started())
    {
        fail_exchange(failure_cause::closed_without_response, reason.message(),
                      mismatched_responses_ > 0
                          ? std::optional(response_fault::other_request)
                          : std::nullopt);
        return;
    }
    if (!is_end)
    {
        reject_response({response_fault::reset, reason.message()});
        return;
    }
    auto const status = reader_->parse_eof();
    if (!status)
    {
        reject_response(status.error());
        return;
    }
    auto response = reader_->release();
    response.keep_alive = false;
    if (options_.matches_request && !options_.matches_request(response))
    {
        reject_response({response_fault::other_request,
                         "the server sent only responses to other requests"});
        return;
    }
    finish_exchange(std::move(response));
}

void client_connection::reject_response(invalid_response const& why)
{
    fail_exchange(why.fault == response_fault::body_too_large
                      ? failure_cause::response_too_large
                      : failure_cause::invalid_response,
                  why.detail, why.fault);
}

void client_connection::fail_exchange(failure_cause cause, std::string detail,
                                      std::optional<response_fault> fault)
{
    unusable_ = true;
    reading_stopped_ = true;
    error_code ignored;
    socket_.close(ignored);
    finish_exchange(
        tl::unexpected(exchange_failure{cause, std::move(detail), fault}));
}

void client_connection::finish_exchange(exchange_result result)
{
    timer_.cancel();
    response_memory_.release();
    idle_since_ = core::boot_clock::now();
    if (result && !result->keep_alive)
    {
        unusable_ = true;
    }
    reader_.reset();
    std::exchange(exchange_handler_, nullptr)(std::move(result));
}

void client_connection::close()
{
    unusable_ = true;
    reading_stopped_ = true;
    timer_.cancel();
    response_memory_.release();
    error_code ignored;
    socket_.close(ignored);
    if (connect_handler_)
    {
        asio::post(socket_.get_executor(), [handler = std::exchange(
                                                connect_handler_, nullptr)] {
            handler(core::failure(core::error_kind::canceled,
                                  "the connection was closed locally"));
        });
    }
    if (exchange_handler_)
    {
        asio::post(socket_.get_executor(), [handler = std::exchange(
                                                exchange_handler_, nullptr)] {
            handler(tl::unexpected(exchange_failure{
                failure_cause::canceled, "the connection was closed locally"}));
        });
    }
}

bool client_connection::reusable()
{
    if (unusable_ || write_pending_ || exchange_handler_ ||
        !unparsed_bytes_.empty())
    {
        return false;
    }
    char byte = 0;
    auto const n = ::recv(socket_.native_handle(), &byte, sizeof byte,
                          MSG_PEEK | MSG_DONTWAIT);
    return n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

} // namespace yuccafall::http
