// Runs a node until it has received SIGTERM or SIGINT and its drain has ended.
#ifndef YUCCAFALL_NODE_RUN_NODE_HPP
#define YUCCAFALL_NODE_RUN_NODE_HPP

#include <string>

namespace yuccafall::node {

enum class run_outcome
{
    stopped,
    settings_refused,
    start_failed,
};

run_outcome run_node(std::string const& settings_path);

} // namespace yuccafall::node

#endif
