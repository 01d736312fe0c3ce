// Settings of a node, which are read from a YAML file and validated together.
#ifndef YUCCAFALL_NODE_SETTINGS_HPP
#define YUCCAFALL_NODE_SETTINGS_HPP

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "core/endpoint.hpp"
#include "core/error.hpp"
#include "core/ids.hpp"
#include "core/units.hpp"
#include "retries/retry_budget.hpp"

namespace yuccafall::node {

using descriptor_count =
    core::strong<struct descriptor_count_tag, std::uint64_t>;

struct settings
{
    core::vm_id vm;
    // The service that the worker beside the node belongs to.
    core::service_name service;
    core::data_centre data_centre;
    core::region_name region;
    // Callers, which include the worker beside the node, send their requests to
    // this endpoint.
    core::endpoint callers;
    // The platform checks the node's readiness at this endpoint.
    core::endpoint readiness;
    // Other nodes connect to this endpoint for control messages.
    core::endpoint control;
    // Other nodes send calls for the worker to this endpoint.
    core::endpoint traffic;
    // Operators read metrics, status and explanations at this endpoint.
    core::endpoint operators;
    // The node sends requests to the worker beside it at this endpoint.
    core::endpoint worker;
    // The platform's store listens at this endpoint.
    core::endpoint platform;
    // Control endpoints of nodes that may be running already. The node connects
    // to them until it knows the list of workers.
    std::vector<core::endpoint> seeds;
    retries::budget_settings retries;
    // Interval at which workers write their entries to the platform's store.
    core::milliseconds worker_heartbeat{1'500};
    // Maximum time from SIGTERM to the end of the process.
    core::milliseconds max_drain_time{6'000};
    // The platform ends the process if it uses more memory than this. A part of
    // the limit bounds the requests that are held in memory at a time.
    core::byte_count memory_limit{260UL * 1024 * 1024};
    // Number of descriptors that the platform allows the process, or 0 if the
    // limit of the operating system applies.
    descriptor_count max_descriptors;
    // A caller that reads a response, or sends a body, at less than this rate
    // on average over caller_rate_window loses its connection. 0 disables this.
    core::bytes_per_second min_caller_rate{1'000};
    core::milliseconds caller_rate_window{30'000};
    // Bandwidth of the VM's link, by which the transfer of long bodies is
    // paced. It is 0 if the bandwidth is not known.
    core::bytes_per_second link_bandwidth{0};
};

// Parses and validates the text of a settings file. The detail of the error
// lists all faults, one per line, each with its line in the file and what was
// expected.
core::result<settings> parse_settings(std::string const& text);

core::result<settings> load_settings(std::string const& path);

} // namespace yuccafall::node

#endif
