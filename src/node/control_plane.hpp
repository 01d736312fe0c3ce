// The control thread's state: the copy of what the platform publishes, the
// configuration in force and the workers that may get work.
#ifndef YUCCAFALL_NODE_CONTROL_PLANE_HPP
#define YUCCAFALL_NODE_CONTROL_PLANE_HPP

#include <functional>
#include <memory>
#include <optional>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "admin/admin_server.hpp"
#include "admin/state.hpp"
#include "ingress/traffic_view.hpp"
#include "membership/worker_directory.hpp"
#include "node/control_links.hpp"
#include "node/settings.hpp"
#include "platform/store_client.hpp"
#include "replication/replicator.hpp"

namespace yuccafall::node {

// Invariant: used on the control thread only.
class control_plane : public std::enable_shared_from_this<control_plane>
{
public:
    using publish_function =
        std::function<void(std::shared_ptr<ingress::traffic_view const>)>;

    control_plane(boost::asio::io_context& context, node::settings settings,
                  publish_function publish);

    core::result<void> start();
    void stop();

    // A request was there when a worker crashed, as this node or another saw.
    void suspect(poison::crash_notice const& it);

    // Has a configuration and a list of workers.
    bool is_ready() const;
    admin::control_status status() const;
    std::shared_ptr<ingress::traffic_view const> const& view() const
    {
        return view_;
    }
    // Where the nodes beside all known workers answer operators.
    std::vector<admin::node_address> nodes() const;

private:
    void feed(replication::replicator_event const& it);
    // Answers of the store are events of replication.
    std::function<void(replication::reader_event)> store_handler();
    void act(replication::read_page const& it);
    void act(replication::watch const& it);
    void act(replication::send_message const& it);
    void act(replication::deliver_items const& it);
    void act(replication::report_store_lost const& it);
    void act(replication::report_store_regained const&);

    void take(replication::item const& it);
    void take_configuration(replication::item const& it);
    void take_worker(core::upstream_id const& id, replication::item const& it);
    void tell_directory(membership::directory_event const& it);
    void publish();
    void assign_duty();
    void forget_poison();
    void watch_time();

    boost::asio::io_context& context_;
    boost::asio::steady_timer timer_;
    node::settings settings_;
    publish_function publish_;
    std::shared_ptr<platform::store_client> store_;
    replication::replicator replicator_;
    std::shared_ptr<control_links> links_;
    membership::worker_directory directory_;
    poison::suspect_list suspects_;
    std::shared_ptr<routing::route_index const> routes_;
    std::shared_ptr<ingress::traffic_view const> view_;
    // What the traffic threads were told differs from what is known now.
    bool view_is_old_ = false;
    bool store_reachable_ = true;
    std::uint64_t refused_ = 0;
    core::instant applied_at_{};
};

} // namespace yuccafall::node

#endif
