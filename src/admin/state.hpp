// What the operators' endpoint shows of a node.
#ifndef YUCCAFALL_ADMIN_STATE_HPP
#define YUCCAFALL_ADMIN_STATE_HPP

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
    bool leaving = false;
    core::configuration_version version;
    core::revision as_of;
    std::size_t routes = 0;
    std::size_t workers = 0;
    // Whether this node reads the store, and whether it can.
    bool reads_store = true;
    bool store_reachable = false;
    std::uint64_t store_calls = 0;
    // Configurations that were refused whole.
    std::uint64_t refused = 0;
    // Of the configuration in force.
    core::milliseconds applied_ago{0};
    // Since a peer or the store last confirmed what is held.
    core::milliseconds confirmed_ago{0};
    std::size_t peers = 0;
};

struct node_state
{
    node_identity identity;
    control_status control;
    // Null before the first one.
    std::shared_ptr<ingress::traffic_view const> view;
    std::shared_ptr<ingress::counters const> counts;
    std::shared_ptr<upstream::counters const> owner_counts;
};

} // namespace yuccafall::admin

#endif
