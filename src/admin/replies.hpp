// Bodies of the operators' endpoint.
#ifndef YUCCAFALL_ADMIN_REPLIES_HPP
#define YUCCAFALL_ADMIN_REPLIES_HPP

#include <map>
#include <string>
#include <vector>

#include "admin/state.hpp"

namespace yuccafall::admin {

std::string status_body(node_state const& it);

// Which route a request gets, and the upstreams that could run it.
std::string explain_body(node_state const& it, std::string_view method,
                         std::string_view url);

std::string metrics_body(node_state const& it);

// What one node answered when asked for its status.
struct node_answer
{
    core::data_centre data_centre;
    // Its VM, or its address where it did not answer.
    std::string name;
    bool answered = false;
    core::configuration_version version;
    std::uint64_t refused = 0;
};

// Nothing for a text that status_body does not make.
std::optional<node_answer> parse_status(std::string const& body);

// In how many nodes of each data centre the version is in force. A node that
// did not answer counts as unknown and never as in force.
std::string where_body(core::configuration_version version,
                       std::vector<node_answer> const& nodes);

} // namespace yuccafall::admin

#endif
