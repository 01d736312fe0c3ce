// Formats the response bodies of the admin endpoint.
#ifndef YUCCAFALL_ADMIN_RESPONSE_BODIES_HPP
#define YUCCAFALL_ADMIN_RESPONSE_BODIES_HPP

#include <map>
#include <set>
#include <string>
#include <vector>

#include "admin/node_state.hpp"

namespace yuccafall::admin {

std::string status_body(node_state const& it);

// Explains which route matches a request and which upstreams can run it.
std::string explain_body(node_state const& it, std::string_view method,
                         std::string_view url);

std::string metrics_body(node_state const& it);

// Says that the node does not hold the text of the configuration in force.
std::string configuration_missing_body();

// The part of a node's status that /where needs, as the node reported it.
struct node_status
{
    core::data_centre data_centre;
    // The node's VM, or the address of its admin endpoint if the node did not
    // respond.
    std::string name;
    bool responded = false;
    // Version of the configuration that is in force on the node.
    core::configuration_version version;
    // Number of configurations that the node has rejected.
    std::uint64_t refused = 0;
    // The data centres to whose workers the node sends nothing.
    std::set<core::data_centre> evacuated;
};

// Returns nothing if the text is not an output of status_body().
std::optional<node_status> parse_status(std::string const& body);

// Counts the nodes of each data centre in which the version is in force. A node
// that did not respond counts as unknown and never as in force. For each
// evacuation that any node has seen, counts the nodes that have seen it.
std::string where_body(core::configuration_version version,
                       std::vector<node_status> const& nodes);

} // namespace yuccafall::admin

#endif
