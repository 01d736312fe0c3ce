// Connections to the nodes beside the workers, shared by all calls to one
// node. Long bodies go over a connection of their own, so that they do not
// hold up short calls.
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
    // False: nothing of the call has left this process.
    bool may_have_arrived = false;
    std::string reason;
};

struct call_handlers
{
    std::function<void(message)> received;
    // Last call to either handler.
    std::function<void(path_loss)> lost;
};

using reply_function = std::function<void(message)>;

struct link_settings
{
    core::milliseconds connect_timeout{500};
    // Silence while calls wait, after which the other node is asked to show
    // that it is there, and after which the connection is given up. The second
    // leaves time for three retransmissions on a lossy link.
    core::milliseconds ping_after{400};
    core::milliseconds give_up_after{1'400};
    core::milliseconds idle_timeout{60'000};
};

// Invariant: used on one thread.
class peer_links
{
public:
    // Calls to the node's own worker go to `local` without a connection.
    using local_owner = std::function<void(message, reply_function)>;
    using load_handler = std::function<void(core::upstream_id const&,
                                            balancing::load_report const&)>;

    peer_links(boost::asio::io_context& context, core::endpoint self,
               local_owner local, link_settings settings = {});
    ~peer_links();

    // The handlers are never called from within a function of this class.
    void open(route_to_node const& to, core::call_id const& call,
              call_handlers handlers);
    // Invariant: the call of the message is open.
    void send(route_to_node const& to, message const& it);
    void close(route_to_node const& to, core::call_id const& call);

    // Loads that nodes tell without being asked.
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
    // Outlives replies that are on their way when this is destroyed.
    std::shared_ptr<peer_links*> self_pointer_;
};

} // namespace yuccafall::peers

#endif
