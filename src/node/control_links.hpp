// Control connections between nodes: keeps those open that are wanted, accepts
// those of others, and turns their frames into events of replication.
#ifndef YUCCAFALL_NODE_CONTROL_LINKS_HPP
#define YUCCAFALL_NODE_CONTROL_LINKS_HPP

#include <functional>
#include <map>
#include <memory>
#include <set>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "poison/suspect_list.hpp"
#include "replication/replicator.hpp"
#include "transport/frame_acceptor.hpp"

namespace yuccafall::node {

// Invariant: used on the control thread.
class control_links : public std::enable_shared_from_this<control_links>
{
public:
    using event_handler =
        std::function<void(replication::replicator_event const&)>;
    using notice_handler = std::function<void(poison::crash_notice const&)>;

    control_links(boost::asio::io_context& context, event_handler handler,
                  notice_handler notices);

    core::result<void> listen(core::endpoint const& at);
    core::endpoint local() const { return acceptor_->local(); }

    // Opens what is missing, closes what is not wanted any more.
    void want(std::set<core::endpoint> const& nodes);

    void send(replication::link_id to, replication::message const& it);
    void send(replication::link_id to, poison::crash_notice const& it);
    // To all nodes that are connected.
    void flood(poison::crash_notice const& it);
    void stop();

private:
    struct outgoing
    {
        // 0 while it is not connected.
        replication::link_id link;
        bool connecting = false;
        core::instant next_try{};
    };

    void connect(core::endpoint const& to);
    void connected(core::endpoint const& to,
                   std::shared_ptr<transport::frame_connection> const& it);
    replication::link_id
    adopt(std::shared_ptr<transport::frame_connection> const& it);
    void received(replication::link_id link, std::string const& frame);
    void lost(replication::link_id gone);
    void retry_later();

    boost::asio::io_context& context_;
    boost::asio::steady_timer timer_;
    event_handler handler_;
    notice_handler notices_;
    std::shared_ptr<transport::frame_acceptor> acceptor_;
    std::map<core::endpoint, outgoing> wanted_;
    std::map<replication::link_id, std::shared_ptr<transport::frame_connection>>
        links_;
    std::uint64_t last_link_ = 0;
    bool retrying_ = false;
    bool stopped_ = false;
};

} // namespace yuccafall::node

#endif
