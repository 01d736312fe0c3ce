// The findings about a configuration that the decoder accepts.
#ifndef YUCCAFALL_PRECHECK_FINDINGS_HPP
#define YUCCAFALL_PRECHECK_FINDINGS_HPP

#include <string>
#include <variant>
#include <vector>

#include "core/ids.hpp"
#include "core/units.hpp"

namespace yuccafall::precheck {

// No route has the service as a target.
struct unused_service
{
    core::service_name service;
};

// The target gets no requests because its weight is 0.
struct zero_weight_target
{
    core::route_name route;
    core::service_name service;
};

// This version treats the route as non-idempotent.
struct unknown_route_kind
{
    core::route_name route;
    std::string word;
};

// Each response within the timeout also meets the target latency.
struct timeout_below_target
{
    core::route_name route;
    core::milliseconds timeout{};
    core::milliseconds target_latency{};
};

// Not all permitted attempts fit into the timeout if each takes the target
// latency.
struct too_many_attempts
{
    core::route_name route;
    core::attempt_count permitted;
    core::attempt_count possible;
};

// No response of the route can be within the target latency.
struct zero_target_latency
{
    core::route_name route;
};

enum class caller_limit
{
    header_size,
    body_size,
    header_timeout,
    idle_timeout,
};

struct zero_caller_limit
{
    caller_limit limit;
};

using finding =
    std::variant<unused_service, zero_weight_target, unknown_route_kind,
                 timeout_below_target, too_many_attempts, zero_target_latency,
                 zero_caller_limit>;

// Returns one line without a line end.
std::string to_text(finding const& it);

} // namespace yuccafall::precheck

#endif
