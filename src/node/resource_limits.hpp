// Divides the memory and the descriptors of a node among callers, workers and
// other nodes, so that none of them can take what the others need.
#ifndef YUCCAFALL_NODE_RESOURCE_LIMITS_HPP
#define YUCCAFALL_NODE_RESOURCE_LIMITS_HPP

#include "core/memory_account.hpp"
#include "core/units.hpp"
#include "node/settings.hpp"

namespace yuccafall::node {

struct resource_limits
{
    // Memory of callers' requests, of responses until callers have taken them,
    // of responses that arrive from the worker, and of frames between nodes
    // that belong to calls.
    core::byte_count request_memory;
    core::byte_count response_memory;
    core::byte_count worker_memory;
    core::byte_count frame_memory;
    // For frames that are received while the memory of frames is used up.
    core::byte_count frame_reserve;
    core::byte_count control_frame_memory;
    // Requests and responses of operators.
    core::byte_count operator_memory;
    // Requests at the readiness endpoint.
    core::byte_count readiness_memory;
    // Largest response of a worker.
    core::byte_count max_response;
    core::connection_count caller_connections;
    // Connections that other nodes open for calls.
    core::connection_count peer_sessions;
    core::connection_count operator_connections;
    core::connection_count readiness_connections;
};

// The second argument is the number of descriptors that the operating system
// allows the process; it applies if the settings state none.
resource_limits limits_for(settings const& it, descriptor_count descriptors);

core::memory_account make_memory_account(resource_limits const& it);

// Returns the number of descriptors that the operating system allows this
// process.
descriptor_count descriptor_limit();

} // namespace yuccafall::node

#endif
