// Finds entries of a decoded configuration that can never match and limits that
// contradict each other.
#ifndef YUCCAFALL_PRECHECK_CHECK_CONFIGURATION_HPP
#define YUCCAFALL_PRECHECK_CHECK_CONFIGURATION_HPP

#include <vector>

#include "precheck/findings.hpp"
#include "routing/configuration.hpp"

namespace yuccafall::precheck {

// Returns the findings about routes in the order of the configuration, then
// those about services by name, then those about the limits for callers.
std::vector<finding>
check_configuration(routing::configuration const& configuration);

} // namespace yuccafall::precheck

#endif
