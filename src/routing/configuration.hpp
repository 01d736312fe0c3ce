// The operator's configuration as the product uses it.
#ifndef YUCCAFALL_ROUTING_CONFIGURATION_HPP
#define YUCCAFALL_ROUTING_CONFIGURATION_HPP

#include <set>
#include <string>
#include <vector>

#include "core/ids.hpp"
#include "core/units.hpp"

namespace yuccafall::routing {

// What may be repeated.
enum class repeatability
{
    // May run more than once.
    idempotent,
    // Runs at most once for each attempt of a client.
    non_idempotent,
    // As non_idempotent, with a large body.
    upload,
};

constexpr bool is_idempotent(repeatability it)
{
    return it == repeatability::idempotent;
}

struct target
{
    core::service_name service;
    core::weight weight{1};
};

struct route
{
    core::route_name name;
    // Lower case, without a port.
    std::string host;
    // Begins and ends with a slash.
    std::string prefix;
    repeatability kind = repeatability::non_idempotent;
    // The longest time from the arrival of a request to its final answer.
    core::milliseconds timeout{};
    // An answer within this time is worth most to the caller.
    core::milliseconds aim{};
    core::rank rank;
    // Upstreams that may get one attempt of a client, the first included.
    core::attempt_count attempts{1};
    // Invariant: not empty; more than one where requests are split by weight.
    std::vector<target> targets;
};

// What a caller may send, and how long it may take.
struct caller_limits
{
    core::byte_count head{16UL * 1024};
    core::byte_count body{64UL * 1024 * 1024};
    core::milliseconds head_timeout{3'000};
    core::milliseconds idle_timeout{15'000};
};

// Invariant: each target names a service of the same configuration, and no two
// routes share host and prefix.
struct configuration
{
    core::configuration_version version;
    std::vector<route> routes;
    std::set<core::service_name> services;
    caller_limits limits;
};

} // namespace yuccafall::routing

#endif
