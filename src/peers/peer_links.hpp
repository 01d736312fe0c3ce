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

enum class lane
{
    short_messages,
    long_bodies,
};

struct route_to_node
{
    core::endpoint node;
    peers::lane lane = lane::short_messages;

    friend bool operator<(route_to_node const& a, route_to_node const& b)
    {
        return std::tie(a.node, a.lane) < std::tie(b.node, b.lane);
    }
};

struct path_loss
{
    // If false, no message of the call has left this process.
    bool may_have_arrived = false;
    std::string reason;
};

struct call_handlers
{
    std::function<void(message)> received;
    // Called at most once; neither handler is called after it.
    std::function<void(path_loss)> lost;
};

using reply_function = std::function<void(message)>;

struct link_settings
{
    core::milliseconds connect_timeout{500};
    // Both are counted from the last received frame while calls are open. After
    // the first delay a ping is sent, and after the second the connection is
    // closed. The second leaves time for three retransmissions on a lossy link.
    core::milliseconds ping_after{400};
    core::milliseconds give_up_after{1'400};
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
    using local_owner = std::function<void(message, reply_function)>;
    using load_handler = std::function<void(core::upstream_id const&,
                                            balancing::load_report const&)>;

    peer_links(boost::asio::io_context& context, core::endpoint self,
               local_owner local, link_settings settings = {});
    ~peer_links();

    // The handlers are never called from within a member function of this
    // class.
    void open(route_to_node const& to, core::call_id const& call,
              call_handlers handlers);
    // Precondition: the call of the message is open.
    void send(route_to_node const& to, message const& it);
    void close(route_to_node const& to, core::call_id const& call);

    // Sets the handler for load reports that nodes send on their own.
    void on_load(load_handler handler) { load_ = std::move(handler); }

    std::size_t connections() const { return links_.size(); }

private:
    class link;

    boost::asio::io_context& context_;
    core::endpoint self_;
    local_owner local_;
    load_handler load_;
    link_settings settings_;
    std::map<route_to_node, std::shared_ptr<link>> links_;
    std::map<core::call_id, call_handlers> local_calls_;
    // Points to this object, or is null after its destruction. Shared with
    // pending local replies, which may outlive the object.
    std::shared_ptr<peer_links*> nullable_self_;
};

} // namespace yuccafall::peers

#endif
