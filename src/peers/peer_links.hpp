// Connections to the nodes beside the workers. All calls to one node share a
// connection, except that long bodies use a second one so that they do not
// delay short messages.
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
#include "transport/frame_connection.hpp"

namespace yuccafall::peers {

// Messages of different classes use separate connections to the same node.
enum class traffic_class
{
    short_messages,
    long_bodies,
};

// Identifies a link, which is the connection to one node for one traffic class.
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

// The reason why a connection to a node broke or could not be opened.
struct connection_loss
{
    // If false, no message of the call has left this process.
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

struct link_settings
{
    core::milliseconds connect_timeout{500};
    // Time without a received frame, while calls are open, after which a ping
    // is sent (ping_delay) and after which the connection is closed
    // (liveness_timeout). The liveness timeout leaves time for three
    // retransmissions on a lossy link.
    core::milliseconds ping_delay{400};
    core::milliseconds liveness_timeout{1'400};
    core::milliseconds idle_timeout{60'000};
};

// Opens connections to other nodes on demand and assigns replies to calls.
//
// Invariant: used on one thread.
class peer_links
{
public:
    // Receives the messages for the node's own worker, which need no
    // connection.
    using local_message_handler = std::function<void(message, reply_function)>;
    using load_handler = std::function<void(core::upstream_id const&,
                                            balancing::load_report const&)>;

    peer_links(boost::asio::io_context& context, core::endpoint self,
               local_message_handler local, link_settings settings = {});
    ~peer_links();

    // The handlers are never called from within a member function of this
    // class.
    void open(link_key const& to, core::call_id const& call,
              call_handlers handlers);
    // Precondition: the call of the message is open.
    void send(link_key const& to, message const& it);
    void close(link_key const& to, core::call_id const& call);

    // Sets the handler for load reports that nodes send on their own.
    void on_load_update(load_handler handler) { load_ = std::move(handler); }

    std::size_t connections() const { return links_.size(); }

private:
    class link;

    boost::asio::io_context& context_;
    core::endpoint self_;
    local_message_handler local_;
    load_handler load_;
    link_settings settings_;
    std::map<link_key, std::shared_ptr<link>> links_;
    std::map<core::call_id, call_handlers> local_calls_;
    // Points to this object, or is null after its destruction. Shared with
    // pending local replies, which may outlive the object.
    std::shared_ptr<peer_links*> nullable_self_;
};

} // namespace yuccafall::peers

#endif
