// A TCP connection that carries frames. It works on any Asio executor that runs
// one handler at a time, such as a strand of the traffic threads or the
// io_context of the control thread.
#ifndef YUCCAFALL_TRANSPORT_FRAME_CONNECTION_HPP
#define YUCCAFALL_TRANSPORT_FRAME_CONNECTION_HPP

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include "core/endpoint.hpp"
#include "core/error.hpp"
#include "core/memory_part.hpp"
#include "core/units.hpp"
#include "transport/arrival_monitor.hpp"
#include "transport/frame_reader.hpp"
#include "transport/paced_link.hpp"

namespace yuccafall::transport {

// Text in core::error::detail when a connection is closed by its idle timeout.
inline constexpr char idle_timeout_detail[] = "idle timeout";

struct connection_options
{
    // A connection is closed after this long without a frame in either
    // direction. The parts of a long frame count while it arrives, unless the
    // peer sends it so slowly that it may lose its memory to others. Zero
    // disables the timeout.
    core::milliseconds idle_timeout{0};
    // Maximum size of the send queue. A peer that does not read is disconnected
    // instead of being buffered for without limit. The default has room for one
    // frame of the maximum size and for other queued frames.
    core::byte_count queue_limit{traffic_frame_limit.value() +
                                 6UL * 1024 * 1024};
    // Frames that are longer than max_unpaced_message are sent in parts that
    // this link grants. Null if frames are sent at once.
    std::shared_ptr<paced_link> link;
    // Counts the frames that are queued or being received, over all connections
    // that share it. If a frame to send has no room, the connections with the
    // slowest peers are closed. If a frame to receive has no room, it is left
    // in the kernel's buffer until it has. The reserve of the part is used only
    // by frames to receive, so that two nodes whose memory is full of frames
    // for each other go on. All connections must run on one thread. Null if
    // only queue_limit applies.
    std::shared_ptr<core::memory_part> memory;
    // A connection is closed if its peer takes no byte of a frame for this
    // long. Zero disables the timeout.
    core::milliseconds write_timeout{0};
};

// All handlers are called on the connection's executor.
struct connection_handlers
{
    std::function<void(std::string frame)> received;
    // Called when all frames passed to send() have been handed to the kernel.
    std::function<void()> drained;
    // Called once; no handler is called after it. It is not called after
    // close_silently().
    std::function<void(core::error reason)> closed;
};

// All members but executor() must be called only on the executor, where one
// handler runs at a time.
class frame_connection : public std::enable_shared_from_this<frame_connection>
{
public:
    using connect_handler =
        std::function<void(core::result<std::shared_ptr<frame_connection>>)>;

    frame_connection(boost::asio::ip::tcp::socket socket, channel_kind kind,
                     connection_options options);

    // Connects, sends the first frame with the channel kind, and passes a
    // connection that has not been started to the handler, on the executor.
    static void connect(boost::asio::any_io_executor const& executor,
                        core::endpoint const& to, channel_kind kind,
                        connection_options const& options,
                        core::milliseconds timeout, connect_handler done);

    // Starts reading. On a started connection, only replaces the handlers.
    void start(connection_handlers handlers);

    // Queues a frame. Returns false if the connection is closed or the queue is
    // full. A full queue closes the connection.
    bool send(std::string frame);

    // Returns when bytes arrived most recently, whether or not they completed a
    // frame. While a frame waits for memory, bytes count that are still in the
    // kernel's buffer; they count as arrived when this function finds them.
    core::instant last_read();

    // Stops reading, so that the peer's frames stay in the kernel's buffer
    // until resume(). A read that is already pending still delivers a frame.
    void pause();
    void resume();

    // Closes the connection and calls the closed handler, unless the handlers
    // were dropped by close_silently().
    void close(core::error reason);

    // Drops the handlers, then closes the connection without calling them.
    void close_silently();

    // Sets the idle timeout and restarts it. Zero disables it.
    void set_idle_timeout(core::milliseconds timeout);

    // Checks the state of the socket itself, so that it also returns false if
    // the peer has closed the connection and the pending read has not completed
    // yet.
    bool alive();

    bool open() const { return open_; }
    core::byte_count queued() const { return core::byte_count(queued_bytes_); }
    boost::asio::any_io_executor executor() { return socket_.get_executor(); }
    std::string const& remote() const { return remote_; }

private:
    struct queued_frame
    {
        frame_header header;
        std::string frame;
    };
    // A frame that the link sends in parts.
    struct paced_frame
    {
        queued_frame content;
        link_ticket ticket;
        // Bytes of the frame that have been handed to the kernel. The header is
        // sent with the first of them.
        std::size_t written = 0;
    };

    void read();
    void read_arrived();
    bool may_read() const { return open_ && !paused_ && started_; }
    void write();
    void write_short_frame();
    void request_part();
    void write_part();
    void handle_part_written(std::size_t n);
    // Returns whether the bytes have completed a frame.
    bool handle_read(std::size_t n);
    void handle_written(std::size_t n);
    void record_activity();
    // Counts a part of a frame as activity, if the frame makes progress.
    void record_arriving_frame();
    void check_idle_timeout();
    void start_write_check(core::duration delay);
    void check_write_progress();
    void record_write_progress(std::size_t accepted);
    // Returns whether there is memory for the frame that is being received.
    bool has_room_for_frame();
    // Returns the part or its reserve, or null if neither has room for a frame.
    // May close the connections of slow peers, which may be this one.
    core::memory_part* find_part_with_room(core::byte_count needed);
    bool fits_reserve(core::byte_count needed) const;
    void wait_for_room();
    void stop_waiting_for_room();
    void count_memory();
    void hold(core::held_memory& it, std::size_t size);
    core::transfer_progress progress() const;
    void close_for_memory();
    void log_end(char const* reason) const;
    void free_frames();

    boost::asio::ip::tcp::socket socket_;
    boost::asio::steady_timer idle_timer_;
    connection_options options_;
    frame_reader reader_;
    connection_handlers handlers_;
    std::deque<queued_frame> queue_;
    // Invariant: empty if there is no link. A frame in queue_ goes ahead of one
    // of these that has not begun.
    std::deque<paced_frame> paced_queue_;
    // Size of the part that the link has granted to the first paced frame.
    std::optional<core::byte_count> granted_part_;
    bool part_requested_ = false;
    // When the part was requested that has not been granted yet.
    core::instant part_requested_at_{};
    std::size_t queued_bytes_ = 0;
    // Bytes that the kernel has accepted of the current write.
    std::size_t written_of_current_ = 0;
    // Bytes that the kernel has accepted of all frames.
    std::uint64_t total_written_ = 0;
    // When the current write began or the kernel last accepted bytes of it.
    core::instant last_write_progress_{};
    // Length of the frame that is being received, if it is counted already.
    std::size_t admitted_frame_ = 0;
    // When memory was last held for the first time, moved by the time that a
    // frame has waited for the link, and total_written_ at that time.
    core::instant busy_since_{};
    std::uint64_t written_when_busy_ = 0;
    bool write_check_scheduled_ = false;
    core::instant last_activity_;
    core::instant last_read_;
    // Counts queued_bytes_, and admitted_frame_ unless it is in the reserve.
    core::held_memory memory_;
    // Counts admitted_frame_ if it is in the reserve. While a frame waits for
    // memory, waits for room in the reserve.
    core::held_memory reserved_frame_;
    bool frame_in_reserve_ = false;
    boost::asio::steady_timer write_timer_;
    // Waits for room in the part while a frame waits for memory. Holds none.
    core::held_memory room_waiter_;
    // Runs while a frame waits for memory, until a slow peer can be closed.
    boost::asio::steady_timer room_timer_;
    arrival_monitor unread_data_;
    bool waiting_for_room_ = false;
    std::string remote_;
    bool open_ = true;
    bool started_ = false;
    bool paused_ = false;
    // Invariant: at most one read and one write are pending. A read is pending
    // until the frames that arrived with it have been delivered, so that a
    // handler of a frame that calls resume() is not called again from within.
    bool reading_ = false;
    bool writing_ = false;
};

} // namespace yuccafall::transport

#endif
