// Manages the control connections between nodes. It keeps a connection to each
// replication source open, accepts connections from other nodes, and decodes
// their frames into replication events and notices about poison requests.
#ifndef YUCCAFALL_NODE_CONTROL_LINKS_HPP
#define YUCCAFALL_NODE_CONTROL_LINKS_HPP

#include <functional>
#include <map>
#include <memory>
#include <set>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "core/memory_part.hpp"
#include "node/deferred_changes.hpp"
#include "poison/suspect_list.hpp"
#include "replication/replicator.hpp"
#include "transport/frame_acceptor.hpp"

namespace yuccafall::node {

// All functions must be called on the control thread, which also calls the
// handlers.
class control_links : public std::enable_shared_from_this<control_links>
{
public:
    using event_handler =
        std::function<void(replication::replicator_event const&)>;
    using poison_notice_handler = std::function<void(poison::notice const&)>;

    // The memory counts the frames of all connections. It must not be used on
    // another thread.
    control_links(boost::asio::io_context& context,
                  std::shared_ptr<core::memory_part> memory,
                  event_handler on_event,
                  poison_notice_handler on_poison_notice);

    core::result<void> listen(core::endpoint const& at);
    core::endpoint local() const { return acceptor_->local(); }

    // Sets the nodes that this node keeps a connection to. Opens connections to
    // new sources and closes those to nodes that are no longer sources.
    void set_sources(std::set<core::endpoint> const& sources);

    // Long changes are dropped while they must wait for a frame above the limit
    // of the memory, or are such a frame and others are held. When it is their
    // turn, the event handler gets the other node's pull (again), so that it
    // sends the changes that are then missing.
    void send(replication::link_id to, replication::message const& it);
    void send(replication::link_id to, poison::notice const& it);
    // Sends the notice to all connected nodes.
    void broadcast(poison::notice const& it);
    void stop();

private:
    struct source_state
    {
        // The link is 0 while the source is not connected.
        replication::link_id link;
        bool connecting = false;
        core::instant next_connect_at{};
    };

    void connect(core::endpoint const& to);
    void on_connected(core::endpoint const& to,
                      std::shared_ptr<transport::frame_connection> const& it);
    replication::link_id
    add_link(std::shared_ptr<transport::frame_connection> const& it);
    void on_frame(replication::link_id link, std::string const& frame);
    void on_link_lost(replication::link_id link);
    void connect_due_sources();
    // Records which revision the other node has, if its changes wait for room.
    void record_revision(replication::link_id link,
                         replication::message const& it);
    void send_deferred_changes();
    void wait_for_room();

    boost::asio::io_context& context_;
    transport::connection_options link_options_;
    boost::asio::steady_timer timer_;
    deferred_changes deferred_;
    // Waits for room for the first deferred changes. Holds none.
    core::held_memory room_waiter_;
    // Runs while changes wait for room, until a slow node can be closed.
    boost::asio::steady_timer room_timer_;
    event_handler on_event_;
    poison_notice_handler on_poison_notice_;
    std::shared_ptr<transport::frame_acceptor> acceptor_;
    std::map<core::endpoint, source_state> sources_;
    std::map<replication::link_id, std::shared_ptr<transport::frame_connection>>
        links_;
    std::uint64_t last_link_id_ = 0;
    // True while connect_due_sources() runs, so that it does not run again from
    // within one of the handlers that it calls.
    bool connecting_due_sources_ = false;
    bool stopped_ = false;
};

} // namespace yuccafall::node

#endif
