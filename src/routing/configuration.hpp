// The decoded configuration: routes, services and limits for callers, which are
// the clients and workers that send requests.
#ifndef YUCCAFALL_ROUTING_CONFIGURATION_HPP
#define YUCCAFALL_ROUTING_CONFIGURATION_HPP

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/ids.hpp"
#include "core/units.hpp"
#include "core/warm_up_limits.hpp"

namespace yuccafall::routing {

// Whether a request may be sent again after it may have run.
enum class repeatability
{
    // The request may run more than once.
    idempotent,
    // The request must run at most once each time that the client sends it.
    non_idempotent,
    // The same as non_idempotent, but the request has a large body.
    upload,
    // The same as idempotent, but the response has a large body.
    download,
};

constexpr bool is_idempotent(repeatability it)
{
    return it == repeatability::idempotent || it == repeatability::download;
}

// Returns the word that operators read.
constexpr std::string_view name_of(repeatability it)
{
    switch (it)
    {
    case repeatability::idempotent:
        return "idempotent";
    case repeatability::non_idempotent:
        return "non_idempotent";
    case repeatability::upload:
        return "upload";
    case repeatability::download:
        return "download";
    }
    return "unknown";
}

// A service that gets requests of a route. If a route has several targets,
// their shares of the requests are proportional to their weights.
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
    // The maximum number of upstreams to which a node may send one request of a
    // client. The upstream that the node tries first counts as one of them.
    core::attempt_count attempts{1};
    // Invariant: the list is not empty. It has more than one element if
    // requests are split by weight.
    std::vector<target> targets;
};

// A route whose kind has a name that this version does not know. The route is
// treated as non_idempotent, the kind that permits least.
struct unknown_kind
{
    core::route_name route;
    std::string word;
};

// A target that gets no requests because its weight is 0. It is not among the
// targets of the route. The service is empty if none is stated.
struct unused_target
{
    core::route_name route;
    core::service_name service;
};

// Limits on the size of a caller's requests, on the time in which the caller
// has to send the header of a request, and on the time that its connection may
// be idle.
struct caller_limits
{
    core::byte_count max_header_bytes{16UL * 1024};
    core::byte_count max_body_bytes{64UL * 1024 * 1024};
    core::milliseconds header_timeout{3'000};
    core::milliseconds idle_timeout{15'000};
};

// What the operator states of the workers of a service.
struct service
{
    // The path of the worker's health check, or empty if none is stated.
    std::string health_path;
    // Empty if cold workers of the service take as many requests as others.
    std::optional<core::warm_up_limits> warm_up;
};

// Invariant: each target names a service of the same configuration, and no two
// routes have the same host and prefix.
struct configuration
{
    core::configuration_version version;
    std::vector<route> routes;
    std::map<core::service_name, service> services;
    caller_limits limits;
    std::vector<unknown_kind> unknown_kinds;
    std::vector<unused_target> unused_targets;
};

} // namespace yuccafall::routing

#endif
