// Finds the differences between the configuration in force and a proposed one.
#ifndef YUCCAFALL_PRECHECK_COMPARE_CONFIGURATIONS_HPP
#define YUCCAFALL_PRECHECK_COMPARE_CONFIGURATIONS_HPP

#include <string>
#include <variant>
#include <vector>

#include "core/ids.hpp"
#include "routing/configuration.hpp"

namespace yuccafall::precheck {

// Nodes ignore a configuration whose version is not higher.
struct version_not_higher
{
    core::configuration_version in_force;
    core::configuration_version proposed;
};

struct route_added
{
    core::route_name route;
};

struct route_removed
{
    core::route_name route;
};

struct field_change
{
    std::string field;
    std::string before;
    std::string after;
};

// The route has the same host and prefix in both configurations.
struct route_changed
{
    // The name in the proposed configuration.
    core::route_name route;
    std::vector<field_change> fields;
};

struct service_added
{
    core::service_name service;
};

struct service_removed
{
    core::service_name service;
};

struct service_changed
{
    core::service_name service;
    std::vector<field_change> fields;
};

// The limits for callers.
struct limits_changed
{
    std::vector<field_change> fields;
};

using difference = std::variant<version_not_higher, route_added, route_removed,
                                route_changed, service_added, service_removed,
                                service_changed, limits_changed>;

// Returns the version first, then the routes by host and prefix, then the
// services by name, then the limits for callers.
std::vector<difference>
compare_configurations(routing::configuration const& in_force,
                       routing::configuration const& proposed);

// Returns one line without a line end.
std::string to_text(difference const& it);

} // namespace yuccafall::precheck

#endif
