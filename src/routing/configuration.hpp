// The decoded configuration: routes, services and limits for callers.
#ifndef YUCCAFALL_ROUTING_CONFIGURATION_HPP
#define YUCCAFALL_ROUTING_CONFIGURATION_HPP

#include <set>
#include <string>
#include <vector>

#include "core/ids.hpp"
#include "core/units.hpp"

namespace yuccafall::routing {

// Whether a request may be sent again after it may have run.
enum class repeatability
{
    // The request may run more than once.
    idempotent,
    // The request must run at most once for each attempt of the caller.
    non_idempotent,
    // The same as non_idempotent, but the request has a large body.
    upload,
};

constexpr bool is_idempotent(repeatability it)
{
    return it == repeatability::idempotent;
}

// A service that gets requests of a route. The shares of several targets are
// proportional to their weights.
struct target
{
    core::service_name service;
    core::weight weight{1};
};

struct route
{
    core::route_name name;
    // The host in lower case, without a port.
    std::string host;
    // The path prefix, which begins and ends with a slash.
    std::string prefix;
    repeatability kind = repeatability::non_idempotent;
    // The maximum time from the arrival of a request to its final response.
    core::milliseconds timeout{};
    // A response within this time has the highest value for the caller.
    core::milliseconds target_latency{};
    core::rank rank;
    // The maximum number of upstreams to which one attempt of a caller may be
    // sent, including the first one.
    core::attempt_count attempts{1};
    // Invariant: the list is not empty. It has more than one element if
    // requests are split by weight.
    std::vector<target> targets;
};

// Limits on the size of a caller's requests and on the time that the caller may
// take.
struct caller_limits
{
    core::byte_count max_header_bytes{16UL * 1024};
    core::byte_count max_body_bytes{64UL * 1024 * 1024};
    core::milliseconds header_timeout{3'000};
    core::milliseconds idle_timeout{15'000};
};

// Invariant: each target names a service of the same configuration, and no two
// routes have the same host and prefix.
struct configuration
{
    core::configuration_version version;
    std::vector<route> routes;
    std::set<core::service_name> services;
    caller_limits limits;
};

} // namespace yuccafall::routing

#endif
