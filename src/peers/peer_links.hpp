// Links to the nodes beside the workers. A link is the connection to one node
// for one traffic class. All calls to a node share its links: one carries the
// short messages, and a second one carries the long bodies, so that these do
// not delay the short messages.
#ifndef YUCCAFALL_PEERS_PEER_LINKS_HPP
#define YUCCAFALL_PEERS_PEER_LINKS_HPP

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "core/endpoint.hpp"
#include "core/units.hpp"
#include "peers/messages.hpp"
#include "peers/node_liveness.hpp"
#include "transport/frame_connection.hpp"

namespace yuccafall::peers {

// Messages of different classes use separate links to the same node.
enum class traffic_class
{
    short_messages,
    long_bodies,
};

struct link_key
{
    core::endpoint node;
    peers::traffic_class traffic_class = traffic_class::short_messages;

    friend bool operator<(link_key const& a, link_key const& b)
    {
        return std::tie(a.node, a.traffic_class) <
               std::tie(b.node, b.traffic_class);
    }
};

// Why a connection to a node broke or could not be opened.
struct connection_loss
{
    // Whether a message of the call was sent over the connection. If false, no
    // message of the call has left this process.
    bool may_have_arrived = false;
    std::string reason;
};

struct call_handlers
{
    std::function<void(message)> received;
    // Called at most once; neither handler is called after it.
    std::function<void(connection_loss)> disconnected;
};

using reply_function = std::function<void(message)>;

struct peer_link_settings
{
    core::milliseconds connect_timeout{500};
    // While calls are open, a ping is sent after this long without a received
    // byte, and again after each further time of this length.
    core::milliseconds ping_delay{150};
    // How often a link is checked that has received nothing for the ping delay.
    core::milliseconds check_interval{50};
    node_liveness_settings liveness;
    // While calls are open or the node is unresponsive, the connection is
    // closed after this long without a received byte. This leaves time for
    // three retransmissions on a network that loses packets.
    core::milliseconds liveness_timeout{1'400};
    // A connection is closed after this long without a frame in either
    // direction.
    core::milliseconds idle_timeout{60'000};
    // Paces the long bodies that are sent to other nodes. May be null.
    std::shared_ptr<transport::paced_link> link;
    // Counts the frames of all links and sessions. May be null.
    std::shared_ptr<core::memory_part> frame_memory;
    // A link is closed if the other node takes no byte for this long.
    core::milliseconds write_timeout{10'000};
};

// Opens links to other nodes on demand and passes each received message to the
// handlers of its call.
//
// Each instance must be used only on the thread that runs its io_context.
// What is known of a node to which calls are sent.
enum class node_contact
{
    responsive,
    unresponsive,
    // The connection to an unresponsive node has been closed. Whether the node
    // responds shows with the next connection.
    lost,
};

class peer_links
{
public:
    // Called with each message that this node sends to itself, which needs no
    // connection. The handler passes the messages in return to the reply
    // function.
    using local_message_handler = std::function<void(message, reply_function)>;
    using load_handler = std::function<void(core::upstream_id const&,
                                            balancing::load_report const&)>;
    // Called when a node becomes unresponsive, and when it no longer is.
    using liveness_handler =
        std::function<void(core::endpoint const& node, node_contact contact)>;

    peer_links(boost::asio::io_context& context, core::endpoint self,
               local_message_handler handle_local_message,
               peer_link_settings settings = {});
    ~peer_links();

    // Opens a call, so that messages of the call can be sent and received. The
    // handlers are never called from within a member function of this class.
    void open(link_key const& to, core::call_id const& call,
              call_handlers handlers);
    // Precondition: the call of the message is open.
    void send(link_key const& to, message const& it);
    void close(link_key const& to, core::call_id const& call);

    // Sets the handler for the load reports in load_update messages, which
    // belong to no call.
    void on_load_update(load_handler handler)
    {
        load_handler_ = std::move(handler);
    }

    // Sets the handler for changes of nodes between responsive and
    // unresponsive.
    void on_liveness_change(liveness_handler handler)
    {
        liveness_handler_ = std::move(handler);
    }

    std::size_t connections() const { return links_.size(); }

private:
    class link;

    std::shared_ptr<link> make_link(link_key const& to);

    boost::asio::io_context& context_;
    core::endpoint self_;
    local_message_handler local_message_handler_;
    load_handler load_handler_;
    liveness_handler liveness_handler_;
    peer_link_settings settings_;
    std::map<link_key, std::shared_ptr<link>> links_;
    // Shared by the links to each node.
    std::map<core::endpoint, std::shared_ptr<node_liveness>> nodes_;
    std::map<core::call_id, call_handlers> local_calls_;
    // Points to a pointer to this object, which is null after its destruction.
    // Shared with pending local replies, which may outlive the object.
    std::shared_ptr<peer_links*> nullable_self_;
};

} // namespace yuccafall::peers

#endif
