// Defines the state of a node that the admin endpoint reports.
#ifndef YUCCAFALL_ADMIN_NODE_STATE_HPP
#define YUCCAFALL_ADMIN_NODE_STATE_HPP

#include <memory>

#include "core/ids.hpp"
#include "core/units.hpp"
#include "ingress/counters.hpp"
#include "ingress/traffic_view.hpp"

namespace yuccafall::admin {

struct node_identity
{
    core::vm_id vm;
    core::service_name service;
    core::data_centre data_centre;
};

struct control_status
{
    bool ready = false;
    // The node is shutting down.
    bool leaving = false;
    core::configuration_version version;
    // This is the store revision that the replicated state corresponds to.
    core::revision as_of;
    std::size_t routes = 0;
    std::size_t workers = 0;
    // This node reads the store directly. Other nodes receive the changes from
    // their peers.
    bool reads_store = true;
    // This is false if the last call to the store failed.
    bool store_reachable = false;
    std::uint64_t store_calls = 0;
    // Counts the configurations that were rejected as a whole.
    std::uint64_t refused = 0;
    // This is the time since the configuration in force was applied.
    core::milliseconds applied_ago{0};
    // This is the time since a peer or the store last confirmed that the
    // replicated state is current.
    core::milliseconds confirmed_ago{0};
    std::size_t peers = 0;
};

struct node_state
{
    node_identity identity;
    control_status control;
    // The pointer is null until the first snapshot is published.
    std::shared_ptr<ingress::traffic_view const> view;
    std::shared_ptr<ingress::counters const> ingress_counters;
    std::shared_ptr<upstream::counters const> upstream_counters;
};

} // namespace yuccafall::admin

#endif
