// Accepts the connections over which other nodes forward the calls of their
// callers. A session is one such connection from its acceptance until it is
// closed. The messages of a session are passed to the handlers with the
// session's id.
#ifndef YUCCAFALL_PEERS_PEER_SERVER_HPP
#define YUCCAFALL_PEERS_PEER_SERVER_HPP

#include <cstdint>
#include <functional>
#include <memory>

#include <boost/asio/io_context.hpp>

#include "core/endpoint.hpp"
#include "core/error.hpp"
#include "peers/messages.hpp"
#include "transport/frame_acceptor.hpp"

namespace yuccafall::peers {

// Session ids count up from 1 and are not reused while the process runs. The id
// 0 (upstream::local_session) is used for the messages that this process sends
// to itself without a connection.
using session_id = core::strong<struct session_id_tag, std::uint64_t>;

struct session_handlers
{
    // The reply function may be called at any later time, also more than once.
    std::function<void(session_id, message, std::function<void(message)> reply)>
        received;
    std::function<void(session_id)> disconnected;
};

struct session_options
{
    // Paces the long responses of all sessions. May be null.
    std::shared_ptr<transport::paced_link> link;
    // Counts the frames of all links and sessions. May be null.
    std::shared_ptr<core::memory_part> frame_memory;
    core::connection_count max_sessions{4'096};
    // A session is closed if the other node takes no byte for this long.
    core::milliseconds write_timeout{10'000};
};

class peer_server : public std::enable_shared_from_this<peer_server>
{
public:
    static core::result<std::shared_ptr<peer_server>>
    listen(boost::asio::io_context& context, core::endpoint const& at,
           session_handlers handlers, session_options options = {});

    explicit peer_server(session_handlers handlers)
        : handlers_(std::move(handlers))
    {}

    core::endpoint local() const { return acceptor_->local(); }
    void stop()
    {
        acceptor_->close([] {});
    }

private:
    void on_accepted(std::shared_ptr<transport::frame_connection> const& it);

    session_handlers handlers_;
    std::shared_ptr<transport::frame_acceptor> acceptor_;
    std::uint64_t last_session_ = 0;
};

} // namespace yuccafall::peers

#endif
