// The traffic threads: callers' sides on all of them, the owner of the worker
// on the first. They share nothing but immutable views and counters.
#ifndef YUCCAFALL_NODE_TRAFFIC_PLANE_HPP
#define YUCCAFALL_NODE_TRAFFIC_PLANE_HPP

#include <functional>
#include <memory>
#include <thread>
#include <vector>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include "dialect/dialect.hpp"
#include "ingress/ingress.hpp"
#include "node/settings.hpp"
#include "peers/peer_server.hpp"
#include "upstream/owner.hpp"

namespace yuccafall::node {

struct traffic_state
{
    std::size_t requests_open = 0;
    std::size_t running = 0;
    core::instant last_request{};
};

// Public functions are called on the control thread.
class traffic_plane
{
public:
    // The handler is called on a traffic thread.
    traffic_plane(node::settings settings, dialect::functions dialect,
                  upstream::worker_owner::notice_handler suspects);
    ~traffic_plane();

    core::result<void> start();

    void publish(std::shared_ptr<ingress::traffic_view const> view);
    // Callers are asked to go elsewhere.
    void start_leaving();
    // Other nodes' calls to the worker are refused from now on.
    void release_worker();
    void stop_taking();
    // The handler runs on a traffic thread.
    void ask_state(std::function<void(traffic_state)> done);
    // Ends the threads.
    void stop();

    std::shared_ptr<ingress::counters> const& counts() const { return counts_; }
    std::shared_ptr<upstream::counters> const& owner_counts() const
    {
        return owner_counts_;
    }

private:
    node::settings settings_;
    dialect::functions dialect_;
    upstream::worker_owner::notice_handler suspects_;
    std::shared_ptr<ingress::counters> counts_;
    std::shared_ptr<upstream::counters> owner_counts_;
    boost::asio::io_context context_{1};
    std::optional<boost::asio::executor_work_guard<
        boost::asio::io_context::executor_type>>
        work_;
    std::shared_ptr<upstream::worker_owner> owner_;
    std::shared_ptr<peers::peer_server> peers_;
    std::shared_ptr<peers::peer_links> links_;
    std::shared_ptr<ingress::ingress> ingress_;
    std::thread thread_;
};

} // namespace yuccafall::node

#endif
