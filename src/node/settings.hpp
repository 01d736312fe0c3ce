// Settings of a node, read from a YAML file and checked as a whole.
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

struct settings
{
    core::vm_id vm;
    // Of the worker beside the node.
    core::service_name service;
    core::data_centre data_centre;
    core::region_name region;
    // Where callers and the worker send their calls.
    core::endpoint callers;
    core::endpoint readiness;
    // Other nodes' control messages.
    core::endpoint control;
    // Other nodes' calls.
    core::endpoint traffic;
    // Metrics, status and explanations.
    core::endpoint operators;
    core::endpoint worker;
    core::endpoint platform;
    // Control endpoints of nodes that may be running already.
    std::vector<core::endpoint> seeds;
    retries::budget_settings retries;
    // From SIGTERM to the end of the process.
    core::milliseconds longest_drain{6'000};
    // The platform ends the process above this; a part of it bounds the
    // requests that are held at a time.
    core::byte_count memory{260UL * 1024 * 1024};
    // Of the VM's link; long bodies are paced by it. 0: not known.
    core::bytes_per_second link{0};
};

// Every fault is part of the error's detail, one line each, with its line in
// the file and what was expected.
core::result<settings> parse_settings(std::string const& text);

core::result<settings> load_settings(std::string const& path);

} // namespace yuccafall::node

#endif
