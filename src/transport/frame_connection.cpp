// Sends and receives frames over a TCP socket.
#include "transport/frame_connection.hpp"

#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <utility>

#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <fmt/format.h>

#include "core/log.hpp"
#include "transport/socket_options.hpp"

namespace yuccafall::transport {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

// Largest number of bytes that are passed to the kernel at once.
constexpr std::size_t max_write_size = 256UL * 1024;

// Limits on what one connection delivers before other handlers of the thread
// run. Frames of a call are some hundred bytes long, apart from its body.
constexpr std::size_t max_frames_per_turn = 64;
constexpr std::size_t max_bytes_per_turn = 256UL * 1024;

core::error io_error(std::string_view operation, error_code const& ec)
{
    return {core::error_kind::io,
            fmt::format("{}: {}", operation, ec.message())};
}

// State of a pending connect operation. The handler is called once, when the
// operation completes or its timeout expires, whichever is first.
struct connect_attempt
{
    connect_attempt(asio::any_io_executor const& executor,
                    frame_connection::connect_handler handler)
        : socket(executor), timer(executor), done(std::move(handler))
    {}

    void finish(core::result<std::shared_ptr<frame_connection>> outcome)
    {
        if (!done)
        {
            return;
        }
        error_code ignored;
        timer.cancel(ignored);
        std::exchange(done, nullptr)(std::move(outcome));
    }

    tcp::socket socket;
    asio::steady_timer timer;
    frame_connection::connect_handler done;
};

} // namespace

frame_connection::frame_connection(tcp::socket socket, channel_kind kind,
                                   connection_options options)
    : socket_(std::move(socket)), idle_timer_(socket_.get_executor()),
      options_(std::move(options)), reader_(frame_limit_of(kind)),
      last_activity_(core::boot_clock::now()), last_read_(last_activity_),
      memory_(options_.memory),
      reserved_frame_(options_.memory ? options_.memory->reserve() : nullptr),
      write_timer_(socket_.get_executor()), room_waiter_(options_.memory),
      room_timer_(socket_.get_executor())
{
    error_code ec;
    set_socket_options(socket_);
    auto const peer = socket_.remote_endpoint(ec);
    remote_ =
        ec ? std::string("unknown")
           : fmt::format("{}:{}", peer.address().to_string(), peer.port());
}

void frame_connection::connect(asio::any_io_executor const& executor,
                               core::endpoint const& to, channel_kind kind,
                               connection_options const& options,
                               core::milliseconds timeout, connect_handler done)
{
    auto attempt = std::make_shared<connect_attempt>(executor, std::move(done));
    error_code ec;
    auto const address = asio::ip::make_address_v4(to.address.value(), ec);
    if (ec)
    {
        asio::post(executor, [attempt, ec] {
            attempt->finish(tl::unexpected(io_error("invalid address", ec)));
        });
        return;
    }
    attempt->timer.expires_after(timeout);
    attempt->timer.async_wait([attempt](error_code const& failed) {
        if (failed)
        {
            return;
        }
        error_code ignored;
        attempt->socket.close(ignored);
        attempt->finish(
            core::failure(core::error_kind::io, "connect timed out"));
    });
    attempt->socket.async_connect(
        tcp::endpoint(address, to.port.value()),
        [attempt, kind, options](error_code const& failed) {
            if (failed)
            {
                attempt->finish(
                    tl::unexpected(io_error("connect failed", failed)));
                return;
            }
            auto it = std::make_shared<frame_connection>(
                std::move(attempt->socket), kind, options);
            it->send(std::string(1, static_cast<char>(kind)));
            attempt->finish(std::move(it));
        });
}

void frame_connection::start(connection_handlers handlers)
{
    handlers_ = std::move(handlers);
    if (std::exchange(started_, true))
    {
        return;
    }
    check_idle_timeout();
    read();
}

bool frame_connection::send(std::string frame)
{
    if (!open_)
    {
        return false;
    }
    auto const size = frame.size() + frame_header_size;
    if (queued_bytes_ + size > options_.queue_limit.value())
    {
        close({core::error_kind::io, "send queue is full"});
        return false;
    }
    if (options_.memory)
    {
        // A frame that would never fit is sent alone. A short frame must not
        // end the transfer of such a frame, which would begin again and again.
        using eviction = core::memory_part::eviction;
        options_.memory->make_room(core::byte_count(size),
                                   frame.size() > max_unpaced_message.value()
                                       ? eviction::all_holders
                                       : eviction::slow_holders,
                                   core::boot_clock::now());
    }
    // Making room may have closed this connection.
    if (!open_)
    {
        return false;
    }
    queued_bytes_ += size;
    count_memory();
    start_write_check(options_.write_timeout);
    auto const header = encode_frame_length(frame.size());
    if (options_.link && frame.size() > max_unpaced_message.value())
    {
        auto const ticket = options_.link->open(core::byte_count(frame.size()));
        paced_queue_.push_back({{header, std::move(frame)}, ticket});
    }
    else
    {
        queue_.push_back({header, std::move(frame)});
    }
    record_activity();
    write();
    return true;
}

void frame_connection::pause()
{
    paused_ = true;
}

void frame_connection::resume()
{
    paused_ = false;
    read();
}

void frame_connection::close(core::error reason)
{
    if (!std::exchange(open_, false))
    {
        return;
    }
    // The handler that waits for a part of the link may hold the last reference
    // to this object.
    auto const self = shared_from_this();
    error_code ignored;
    socket_.shutdown(tcp::socket::shutdown_both, ignored);
    socket_.close(ignored);
    idle_timer_.cancel(ignored);
    write_timer_.cancel(ignored);
    stop_waiting_for_room();
    free_frames();
    auto handlers = std::exchange(handlers_, {});
    if (!handlers.closed)
    {
        return;
    }
    // The handler is posted so that it does not run inside a call of send().
    asio::post(executor(), [closed = std::move(handlers.closed),
                            reason = std::move(reason)] { closed(reason); });
}

void frame_connection::close_silently()
{
    handlers_ = {};
    close({core::error_kind::io, "connection was released"});
}

// Frees all frames at once. A write that is pending has been canceled and does
// not use its frame any more.
void frame_connection::free_frames()
{
    for (auto const& it : paced_queue_)
    {
        options_.link->close(it.ticket);
    }
    paced_queue_.clear();
    queue_.clear();
    queued_bytes_ = 0;
    memory_.release();
    reserved_frame_.release();
}

void frame_connection::log_end(char const* reason) const
{
    if (core::admit_request_line(core::request_event::exceptional))
    {
        core::log_event(core::log_level::warning, "frame_connection_ended",
                        {{"remote", remote_},
                         {"reason", reason},
                         {"queued", queued_bytes_},
                         {"receiving", admitted_frame_}});
    }
}

void frame_connection::record_write_progress(std::size_t accepted)
{
    written_of_current_ = accepted;
    last_write_progress_ = core::boot_clock::now();
}

void frame_connection::start_write_check(core::duration delay)
{
    if (options_.write_timeout.count() == 0 ||
        std::exchange(write_check_scheduled_, true))
    {
        return;
    }
    write_timer_.expires_after(delay);
    write_timer_.async_wait([weak = weak_from_this()](error_code const& ec) {
        auto const self = weak.lock();
        if (!self || ec)
        {
            return;
        }
        self->write_check_scheduled_ = false;
        self->check_write_progress();
    });
}

void frame_connection::check_write_progress()
{
    if (!open_ || queued_bytes_ == 0)
    {
        return;
    }
    // A frame that waits for the link is not the peer's fault.
    auto const since_progress =
        writing_ ? core::boot_clock::now() - last_write_progress_
                 : core::duration::zero();
    if (since_progress >= options_.write_timeout)
    {
        log_end("slow_reader");
        close({core::error_kind::io, "the peer does not read"});
        return;
    }
    start_write_check(options_.write_timeout - since_progress);
}

void frame_connection::read()
{
    if (!may_read() || reading_)
    {
        return;
    }
    bool const has_room = has_room_for_frame();
    // Making room may have closed this connection.
    if (!open_)
    {
        return;
    }
    if (!has_room)
    {
        wait_for_room();
        return;
    }
    stop_waiting_for_room();
    reading_ = true;
    auto const space = reader_.prepare();
    socket_.async_read_some(
        asio::buffer(space.data, space.size),
        [self = shared_from_this()](error_code const& ec, std::size_t n) {
            if (ec)
            {
                self->reading_ = false;
                self->close(io_error("read failed", ec));
                return;
            }
            self->handle_read(n);
            self->read_arrived();
            self->reading_ = false;
            self->read();
        });
}

// Delivers the frames that are in the kernel's buffer, within the limits of one
// turn. A frame that revokes an earlier one is thus delivered before a handler
// that the earlier one has posted.
void frame_connection::read_arrived()
{
    if (!may_read())
    {
        return;
    }
    error_code ec;
    // Reading this many bytes does not block. The next read() reports an error.
    auto const arrived = std::min(socket_.available(ec), max_bytes_per_turn);
    std::size_t bytes = 0;
    std::size_t frames = 0;
    while (bytes < arrived && frames < max_frames_per_turn && may_read() &&
           has_room_for_frame() && open_)
    {
        auto const space = reader_.prepare();
        auto const n =
            socket_.read_some(asio::buffer(space.data, space.size), ec);
        if (ec)
        {
            close(io_error("read failed", ec));
            return;
        }
        bytes += n;
        frames += handle_read(n) ? 1 : 0;
    }
}

bool frame_connection::handle_read(std::size_t n)
{
    last_read_ = core::boot_clock::now();
    auto frame = reader_.commit(n);
    if (!frame)
    {
        close(std::move(frame.error()));
        return false;
    }
    if (!*frame || !open_)
    {
        record_arriving_frame();
        return false;
    }
    admitted_frame_ = 0;
    count_memory();
    record_activity();
    // The handler is copied because it may replace handlers_.
    auto const received = handlers_.received;
    if (received)
    {
        received(std::move(**frame));
    }
    return true;
}

// A part that the link has granted goes first, since the link counts it as sent
// already. The parts of a frame must follow each other on the connection.
void frame_connection::write()
{
    if (!open_ || writing_)
    {
        return;
    }
    bool const within_paced_frame =
        !paced_queue_.empty() && paced_queue_.front().written > 0;
    if (granted_part_)
    {
        write_part();
    }
    else if (!queue_.empty() && !within_paced_frame)
    {
        write_short_frame();
    }
    else if (!paced_queue_.empty())
    {
        request_part();
    }
}

void frame_connection::request_part()
{
    if (std::exchange(part_requested_, true))
    {
        return;
    }
    part_requested_at_ = core::boot_clock::now();
    options_.link->request(paced_queue_.front().ticket,
                           [self = shared_from_this()](core::byte_count size) {
                               self->part_requested_ = false;
                               self->busy_since_ += core::boot_clock::now() -
                                                    self->part_requested_at_;
                               self->granted_part_ = size;
                               self->write();
                           });
}

void frame_connection::write_part()
{
    writing_ = true;
    record_write_progress(0);
    auto const& it = paced_queue_.front();
    auto const size = std::exchange(granted_part_, std::nullopt)->value();
    auto const header_size = it.written == 0 ? it.content.header.size() : 0;
    std::array<asio::const_buffer, 2> const parts{
        asio::buffer(it.content.header.data(), header_size),
        asio::buffer(it.content.frame.data() + it.written, size)};
    asio::async_write(
        socket_, parts,
        [self = shared_from_this()](error_code const& ec, std::size_t n) {
            self->record_write_progress(n);
            return ec ? std::size_t{0} : max_write_size;
        },
        [self = shared_from_this(), size](error_code const& ec, std::size_t n) {
            self->writing_ = false;
            self->written_of_current_ = 0;
            self->total_written_ += n;
            if (ec)
            {
                self->close(io_error("write failed", ec));
                return;
            }
            if (self->open_)
            {
                self->handle_part_written(size);
            }
        });
}

void frame_connection::handle_part_written(std::size_t n)
{
    auto& it = paced_queue_.front();
    it.written += n;
    record_activity();
    if (it.written < it.content.frame.size())
    {
        write();
        return;
    }
    options_.link->close(it.ticket);
    auto const total = it.written + it.content.header.size();
    paced_queue_.pop_front();
    handle_written(total);
}

void frame_connection::write_short_frame()
{
    writing_ = true;
    record_write_progress(0);
    auto const& front = queue_.front();
    std::array<asio::const_buffer, 2> const parts{asio::buffer(front.header),
                                                  asio::buffer(front.frame)};
    asio::async_write(
        socket_, parts,
        [self = shared_from_this()](error_code const& ec, std::size_t n) {
            self->record_write_progress(n);
            return ec ? std::size_t{0} : max_write_size;
        },
        [self = shared_from_this()](error_code const& ec, std::size_t n) {
            self->writing_ = false;
            self->written_of_current_ = 0;
            self->total_written_ += n;
            if (ec)
            {
                self->close(io_error("write failed", ec));
                return;
            }
            // A connection that has been closed has freed its frames.
            if (!self->open_)
            {
                return;
            }
            self->queue_.pop_front();
            self->handle_written(n);
        });
}

void frame_connection::handle_written(std::size_t n)
{
    queued_bytes_ -= n;
    count_memory();
    if (!queue_.empty() || !paced_queue_.empty())
    {
        write();
        return;
    }
    auto const drained = handlers_.drained;
    if (drained)
    {
        drained();
    }
}

void frame_connection::set_idle_timeout(core::milliseconds timeout)
{
    options_.idle_timeout = timeout;
    record_activity();
    error_code ignored;
    idle_timer_.cancel(ignored);
    if (started_)
    {
        check_idle_timeout();
    }
}

bool frame_connection::alive()
{
    if (!open_)
    {
        return false;
    }
    char byte = 0;
    auto const n = ::recv(socket_.native_handle(), &byte, sizeof byte,
                          MSG_PEEK | MSG_DONTWAIT);
    return n > 0 || (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK));
}

void frame_connection::record_activity()
{
    last_activity_ = core::boot_clock::now();
}

void frame_connection::check_idle_timeout()
{
    if (options_.idle_timeout.count() == 0 || !open_)
    {
        return;
    }
    auto const idle_time = core::boot_clock::now() - last_activity_;
    if (idle_time >= options_.idle_timeout)
    {
        close({core::error_kind::io, idle_timeout_detail});
        return;
    }
    idle_timer_.expires_after(options_.idle_timeout - idle_time);
    idle_timer_.async_wait([self = shared_from_this()](error_code const& ec) {
        if (!ec)
        {
            self->check_idle_timeout();
        }
    });
}

} // namespace yuccafall::transport
