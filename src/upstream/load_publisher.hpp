// Sends the load of the local worker to the nodes that have recently offered
// calls to it.
#ifndef YUCCAFALL_UPSTREAM_LOAD_PUBLISHER_HPP
#define YUCCAFALL_UPSTREAM_LOAD_PUBLISHER_HPP

#include <functional>
#include <map>
#include <memory>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "balancing/upstream_scores.hpp"
#include "core/ids.hpp"
#include "core/units.hpp"
#include "peers/peer_links.hpp"
#include "peers/peer_server.hpp"

namespace yuccafall::upstream {

// Not thread-safe: each object is used on the traffic thread only.
class load_publisher : public std::enable_shared_from_this<load_publisher>
{
public:
    using load_function = std::function<balancing::load_report()>;

    // The function returns the current load.
    load_publisher(boost::asio::io_context& context, load_function load);

    // The session receives load reports until some seconds after its most
    // recent offer.
    void subscribe(peers::session_id session, peers::reply_function send,
                   core::upstream_id const& upstream, core::instant now);
    void unsubscribe(peers::session_id session);

    // Sends the load if it has changed so that it may affect a choice of an
    // upstream. Reports are a minimum interval apart.
    void publish();
    void close();

private:
    struct subscriber
    {
        peers::reply_function send;
        core::upstream_id upstream;
        core::instant last_offer;
    };

    void schedule(core::duration delay);

    load_function load_;
    std::map<peers::session_id, subscriber> subscribers_;
    // The load report that was most recently sent to the subscribers.
    balancing::load_report last_sent_;
    core::instant last_sent_at_{};
    boost::asio::steady_timer timer_;
    // True while timer_ is set to publish the load.
    bool scheduled_ = false;
};

} // namespace yuccafall::upstream

#endif
