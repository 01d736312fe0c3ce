// Defines the state of a node that the admin endpoint reports.
#ifndef YUCCAFALL_ADMIN_NODE_STATE_HPP
#define YUCCAFALL_ADMIN_NODE_STATE_HPP

#include <memory>
#include <vector>

#include "core/ids.hpp"
#include "core/memory_account.hpp"
#include "core/units.hpp"
#include "http/response_fault.hpp"
#include "ingress/counters.hpp"
#include "ingress/traffic_view.hpp"
#include "upstream/counters.hpp"

namespace yuccafall::admin {

struct node_identity
{
    core::vm_id vm;
    core::service_name service;
    core::data_centre data_centre;
};

// A data centre to whose workers nothing may be sent.
struct evacuation_status
{
    core::data_centre data_centre;
    // Store revision at which the operator asked for it.
    core::revision revision;
    // Time since this node learned of it.
    core::milliseconds known_for{0};
    // Workers that would get calls otherwise. It is 0 for a name that no data
    // centre has.
    std::size_t workers = 0;
};

struct control_status
{
    bool ready = false;
    // Whether the node is shutting down.
    bool leaving = false;
    core::configuration_version version;
    // Store revision to which the replicated state corresponds.
    core::revision as_of;
    std::size_t routes = 0;
    // Routes of a kind that this version does not know.
    std::size_t unknown_kinds = 0;
    // Workers that may get calls. Those of evacuated data centres do not count.
    std::size_t workers = 0;
    std::vector<evacuation_status> evacuations;
    // Whether this node reads the store directly. Other nodes receive the
    // changes from their peers.
    bool reads_store = true;
    // Whether the last call to the store succeeded.
    bool store_reachable = false;
    std::uint64_t store_calls = 0;
    // Null if this node has no store.
    std::shared_ptr<http::response_fault_counters const>
        invalid_store_responses;
    // Number of configurations that were rejected entirely.
    std::uint64_t refused = 0;
    // Time since the configuration in force was applied.
    core::milliseconds applied_ago{0};
    // Time since a peer or the store last confirmed that the replicated state
    // is current.
    core::milliseconds confirmed_ago{0};
    std::size_t peers = 0;
};

struct node_state
{
    node_identity identity;
    control_status control;
    // Null until the first snapshot is published.
    std::shared_ptr<ingress::traffic_view const> view;
    std::shared_ptr<ingress::counters const> ingress_counters;
    std::shared_ptr<upstream::counters const> upstream_counters;
    // Responses of other nodes' admin endpoints that were not used.
    std::shared_ptr<http::response_fault_counters const>
        invalid_status_responses;
    // Null pointers if the node counts no memory.
    core::memory_account memory;
};

} // namespace yuccafall::admin

#endif
