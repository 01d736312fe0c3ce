// Runs the sessions that other nodes open.
#include "peers/peer_server.hpp"

#include "core/log.hpp"
#include "peers/codec.hpp"

namespace yuccafall::peers {

namespace {

// Longer than peer_link_settings::idle_timeout, so that an idle connection is
// closed by the node that opened it, which is also the one that would use it
// next.
constexpr core::milliseconds idle_timeout{90'000};

} // namespace

core::result<std::shared_ptr<peer_server>>
peer_server::listen(boost::asio::io_context& context, core::endpoint const& at,
                    session_handlers handlers, session_options session)
{
    auto it = std::make_shared<peer_server>(std::move(handlers));
    transport::acceptor_options options;
    options.kind = transport::channel_kind::traffic;
    options.connection.idle_timeout = idle_timeout;
    options.max_connections = session.max_sessions;
    options.connection.link = std::move(session.link);
    options.connection.memory = std::move(session.frame_memory);
    options.connection.write_timeout = session.write_timeout;
    auto opened = transport::frame_acceptor::listen(
        context, at, options,
        [weak = std::weak_ptr(it)](
            std::shared_ptr<transport::frame_connection> const& c) {
            if (auto const self = weak.lock())
            {
                self->on_accepted(c);
            }
        });
    if (!opened)
    {
        return tl::unexpected(opened.error());
    }
    it->acceptor_ = std::move(*opened);
    return it;
}

void peer_server::on_accepted(
    std::shared_ptr<transport::frame_connection> const& it)
{
    session_id const id(++last_session_);
    auto reply = [weak = std::weak_ptr(it)](message const& m) {
        if (auto const connection = weak.lock())
        {
            connection->send(encode(m));
        }
    };
    auto received = [self = shared_from_this(), id, reply,
                     weak = std::weak_ptr(it)](std::string const& frame) {
        auto m = decode(frame);
        if (m)
        {
            self->handlers_.received(id, std::move(*m), reply);
            return;
        }
        if (auto const connection = weak.lock())
        {
            connection->close(m.error());
        }
    };
    auto closed = [self = shared_from_this(), id,
                   remote = it->remote()](core::error const& reason) {
        if (reason.kind == core::error_kind::bad_frame)
        {
            core::log_event(core::log_level::warning, "peer_session_refused",
                            {{"remote", remote}, {"reason", reason.detail}});
        }
        self->handlers_.disconnected(id);
    };
    it->start({std::move(received), nullptr, std::move(closed)});
}

} // namespace yuccafall::peers
