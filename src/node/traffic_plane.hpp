// Runs the traffic thread, which handles the requests of callers and the calls
// to the worker beside this node. It shares only immutable views and counters
// with the control thread.
#ifndef YUCCAFALL_NODE_TRAFFIC_PLANE_HPP
#define YUCCAFALL_NODE_TRAFFIC_PLANE_HPP

#include <functional>
#include <memory>
#include <thread>
#include <vector>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include "core/memory_account.hpp"
#include "ingress/ingress.hpp"
#include "metadata/header_codec.hpp"
#include "node/drain_schedule.hpp"
#include "node/resource_limits.hpp"
#include "node/settings.hpp"
#include "peers/peer_server.hpp"
#include "upstream/worker_owner.hpp"

namespace yuccafall::node {

// Public functions must be called on the control thread.
class traffic_plane
{
public:
    // The handler is called on the traffic thread for each request that was
    // running in the worker when the worker crashed.
    traffic_plane(
        node::settings settings, metadata::header_codec header_codec,
        upstream::worker_owner::poison_notice_handler on_poison_notice);
    ~traffic_plane();

    core::result<void> start();

    void publish(std::shared_ptr<ingress::traffic_view const> view);
    // Closes callers' connections after their next response, so that callers
    // move to other nodes. Requests that can have their response until
    // `calls_end_at` are still served.
    void start_draining(core::instant calls_end_at);
    // Refuses new and waiting calls to the worker, whether they come from this
    // node's callers or from other nodes. Calls that are running finish.
    void drain_worker();
    // Refuses new requests of callers. Requests that are open finish.
    void stop_accepting_requests();
    // Passes the current state to the handler on the traffic thread.
    void query_state(std::function<void(traffic_state)> done);
    // Ends the traffic thread and waits for it.
    void stop();

    std::shared_ptr<ingress::counters> const& ingress_counters() const
    {
        return ingress_counters_;
    }
    std::shared_ptr<upstream::counters> const& upstream_counters() const
    {
        return upstream_counters_;
    }

    resource_limits const& limits() const { return limits_; }
    // The sizes of the parts may be read on any thread. The parts that
    // memory_account assigns to the control thread must be used only there.
    core::memory_account const& memory() const { return memory_; }

private:
    node::settings settings_;
    metadata::header_codec header_codec_;
    upstream::worker_owner::poison_notice_handler on_poison_notice_;
    std::shared_ptr<ingress::counters> ingress_counters_;
    std::shared_ptr<upstream::counters> upstream_counters_;
    resource_limits limits_;
    core::memory_account memory_;
    boost::asio::io_context context_{1};
    std::optional<boost::asio::executor_work_guard<
        boost::asio::io_context::executor_type>>
        work_guard_;
    // Null if the bandwidth of the VM's link is not known.
    std::shared_ptr<transport::paced_link> link_;
    std::shared_ptr<upstream::worker_owner> owner_;
    std::shared_ptr<peers::peer_server> peer_server_;
    std::shared_ptr<peers::peer_links> peer_links_;
    std::shared_ptr<ingress::ingress> ingress_;
    std::thread thread_;
};

} // namespace yuccafall::node

#endif
