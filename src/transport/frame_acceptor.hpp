// Accepts frame connections of one channel kind, which frame_reader.hpp
// defines, up to a maximum number of open connections.
#ifndef YUCCAFALL_TRANSPORT_FRAME_ACCEPTOR_HPP
#define YUCCAFALL_TRANSPORT_FRAME_ACCEPTOR_HPP

#include <atomic>
#include <functional>
#include <memory>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "core/endpoint.hpp"
#include "core/error.hpp"
#include "core/units.hpp"
#include "transport/frame_connection.hpp"

namespace yuccafall::transport {

struct acceptor_options
{
    channel_kind kind = channel_kind::traffic;
    core::connection_count max_connections{4096};
    connection_options connection;
};

// Runs each connection on its own strand of the io_context.
//
// acceptor_ must be used only on its own strand.
class frame_acceptor : public std::enable_shared_from_this<frame_acceptor>
{
public:
    // Called on the connection's executor after its first frame has named the
    // expected channel kind. The handler must call start() before it returns,
    // because the connection then continues to read.
    using accepted_handler =
        std::function<void(std::shared_ptr<frame_connection>)>;

    // If the port is 0, the kernel chooses a free one; see local().
    static core::result<std::shared_ptr<frame_acceptor>>
    listen(boost::asio::io_context& context, core::endpoint const& at,
           acceptor_options const& options, accepted_handler accepted);

    frame_acceptor(boost::asio::io_context& context,
                   acceptor_options const& options, accepted_handler accepted);

    core::endpoint local() const { return local_endpoint_; }
    // Accepts no further connections. Open connections are not closed.
    void stop();
    // Stops and closes all open connections. Calls done once, on any thread,
    // when the last connection has been destroyed.
    void close(std::function<void()> done);

private:
    // Shared by the acceptor and its connections. The destructor calls
    // `notify`, so the function runs when the last of them has released the
    // notifier.
    struct close_notifier
    {
        ~close_notifier();

        std::function<void()> notify;
    };

    core::result<void> open(core::endpoint const& at);
    void accept();
    void add_connection(boost::asio::ip::tcp::socket socket);
    void track(std::shared_ptr<frame_connection> const& it);

    boost::asio::io_context& context_;
    boost::asio::ip::tcp::acceptor acceptor_;
    boost::asio::steady_timer accept_retry_timer_;
    acceptor_options options_;
    accepted_handler accepted_handler_;
    core::endpoint local_endpoint_;
    // Number of existing connections. Each connection decrements the number
    // when it is destroyed, which may be after the destruction of the acceptor.
    std::shared_ptr<std::atomic<std::uint32_t>> connection_count_;
    std::vector<std::weak_ptr<frame_connection>> connections_;
    std::shared_ptr<close_notifier> close_notifier_ =
        std::make_shared<close_notifier>();
    bool stopped_ = false;
};

} // namespace yuccafall::transport

#endif
