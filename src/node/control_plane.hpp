// State of the control thread: the copy of the platform's store, the
// configuration in force and the workers that are eligible for calls. The
// control thread is the main thread of a node. It does everything but handle
// requests and calls, which the traffic thread does.
#ifndef YUCCAFALL_NODE_CONTROL_PLANE_HPP
#define YUCCAFALL_NODE_CONTROL_PLANE_HPP

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "admin/admin_server.hpp"
#include "admin/node_state.hpp"
#include "ingress/traffic_view.hpp"
#include "membership/evacuations.hpp"
#include "membership/worker_directory.hpp"
#include "node/control_links.hpp"
#include "node/settings.hpp"
#include "platform/store_client.hpp"
#include "replication/replicator.hpp"

namespace yuccafall::node {

// All functions must be called on the control thread.
class control_plane : public std::enable_shared_from_this<control_plane>
{
public:
    using publish_function =
        std::function<void(std::shared_ptr<ingress::traffic_view const>)>;

    // The memory counts the control frames between nodes.
    control_plane(boost::asio::io_context& context, node::settings settings,
                  std::shared_ptr<core::memory_part> frame_memory,
                  publish_function publish);

    core::result<void> start();
    void stop();

    // Handles a notice that a request was running in a worker when the worker
    // crashed. The notice comes from this node's own worker or from another
    // node.
    void handle_poison_notice(poison::notice const& it);

    // Returns true once the node has a configuration and has received the
    // content of the store.
    bool is_ready() const;
    admin::control_status status() const;
    std::shared_ptr<ingress::traffic_view const> const& view() const
    {
        return view_;
    }
    // Returns the text of the configuration in force as the store holds it.
    // Returns nothing if there is none, or if the copy of the store holds
    // another one that this node does not apply.
    std::optional<std::string> configuration_in_force() const;
    // Returns the operators' endpoints of the nodes beside all known workers.
    std::vector<admin::node_address> nodes() const;

private:
    void handle_event(replication::replicator_event const& it);
    // Returns a handler that passes the store's responses to the replicator.
    std::function<void(replication::reader_event)> store_handler();
    void execute(replication::read_page const& it);
    void execute(replication::watch const& it);
    void execute(replication::send_message const& it);
    void execute(replication::deliver_items const& it);
    void execute(replication::report_store_lost const& it);
    void execute(replication::report_store_regained const& it);
    void execute(replication::report_reading_changed const& it);

    void apply_item(replication::store_item const& it);
    void apply_configuration(replication::store_item const& it);
    void apply_worker_entry(core::upstream_id const& id,
                            replication::store_item const& it);
    void apply_evacuation(core::data_centre const& data_centre,
                          replication::store_item const& it);
    // Returns whether the entry is of the local worker and states, unlike the
    // published view, that it is cold or that it is not. Always false if its
    // service has no cold rate.
    bool changes_local_warm_up(membership::worker_entry const& entry) const;
    void update_directory(membership::directory_event const& it);
    // Publishes a new view to the traffic thread if the last one is outdated.
    void publish_view();
    // Computes this node's role from the list of workers, connects to the
    // sources of the role and reports the role to the replicator.
    void update_role();
    // Marks the view as outdated if the set of poisoned requests differs from
    // the view's, for example because a suspect has expired.
    void check_poison_expiry();
    void set_timer();

    boost::asio::io_context& context_;
    boost::asio::steady_timer timer_;
    node::settings settings_;
    std::shared_ptr<core::memory_part> frame_memory_;
    publish_function publish_;
    std::shared_ptr<platform::store_client> store_;
    replication::replicator replicator_;
    std::shared_ptr<control_links> links_;
    membership::worker_directory directory_;
    membership::evacuations evacuations_;
    poison::suspect_list suspects_;
    std::shared_ptr<routing::route_index const> routes_;
    std::shared_ptr<ingress::traffic_view const> view_;
    // True if the view that was published last does not match the current
    // configuration, workers, evacuations or poisoned requests.
    bool view_outdated_ = false;
    bool store_reachable_ = true;
    std::uint64_t refused_configurations_ = 0;
    // The item of the configuration in force. The text is not kept a second
    // time.
    std::string applied_key_;
    core::revision applied_revision_;
    // When the configuration in force was applied.
    core::instant applied_at_{};
};

} // namespace yuccafall::node

#endif
