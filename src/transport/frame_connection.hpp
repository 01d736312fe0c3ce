// A TCP connection that carries frames. Works on any Asio executor that runs
// one handler at a time: a strand of the traffic pool or the control thread's
// io_context.
#ifndef YUCCAFALL_TRANSPORT_FRAME_CONNECTION_HPP
#define YUCCAFALL_TRANSPORT_FRAME_CONNECTION_HPP

#include <deque>
#include <functional>
#include <memory>
#include <string>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include "core/endpoint.hpp"
#include "core/error.hpp"
#include "core/units.hpp"
#include "transport/frame_reader.hpp"

namespace yuccafall::transport {

// The detail of the error that closes a connection for its idle timeout.
inline constexpr char idle_reason[] = "idle";

struct connection_options
{
    // A connection without a frame in either direction for this long is
    // closed. Zero: never.
    core::milliseconds idle_timeout{0};
    // A peer that does not read is cut off rather than buffered for. Holds one
    // frame of the greatest size, and what else waits.
    core::byte_count queue_limit{traffic_frame_limit.value() +
                                 6UL * 1024 * 1024};
};

// All called on the connection's executor.
struct connection_handlers
{
    std::function<void(std::string frame)> received;
    // All frames given to send() have been handed to the kernel.
    std::function<void()> drained;
    // Last call to any handler. Not called after release().
    std::function<void(core::error reason)> closed;
};

// Invariant: all members but executor() are used on the executor only, where
// one handler runs at a time.
class frame_connection : public std::enable_shared_from_this<frame_connection>
{
public:
    using connect_handler =
        std::function<void(core::result<std::shared_ptr<frame_connection>>)>;

    frame_connection(boost::asio::ip::tcp::socket socket, channel_kind kind,
                     connection_options options);

    // Connects, sends the first frame with the kind and gives back a
    // connection that has not been started. The handler runs on executor.
    static void connect(boost::asio::any_io_executor const& executor,
                        core::endpoint const& to, channel_kind kind,
                        connection_options const& options,
                        core::milliseconds timeout, connect_handler done);

    // Reads from now on. Also replaces the handlers of a started connection.
    void start(connection_handlers handlers);

    // Returns false if the connection is closed or the queue is full; a full
    // queue closes the connection.
    bool send(std::string frame);

    // Frames that the peer sends wait in the kernel until resume().
    void pause();
    void resume();

    // Handlers are told, unless they were released before.
    void close(core::error reason);

    // Drops the handlers, then closes.
    void release();

    // Zero: never. Counts from now.
    void set_idle_timeout(core::milliseconds timeout);

    // Looks at the socket: false also where the peer has closed and the
    // pending read has not been told yet.
    bool alive();

    bool open() const { return open_; }
    core::byte_count queued() const { return core::byte_count(queued_); }
    boost::asio::any_io_executor executor() { return socket_.get_executor(); }
    std::string const& remote() const { return remote_; }

private:
    struct outgoing
    {
        frame_header header;
        std::string frame;
    };

    void read();
    void write();
    void took(std::size_t n);
    void wrote(std::size_t n);
    void touch();
    void watch_idle();

    boost::asio::ip::tcp::socket socket_;
    boost::asio::steady_timer idle_timer_;
    connection_options options_;
    frame_reader reader_;
    connection_handlers handlers_;
    std::deque<outgoing> queue_;
    std::size_t queued_ = 0;
    core::instant last_frame_;
    std::string remote_;
    bool open_ = true;
    bool started_ = false;
    bool paused_ = false;
    // Invariant: at most one read and one write are pending.
    bool reading_ = false;
    bool writing_ = false;
};

} // namespace yuccafall::transport

#endif
