// Applies each rule to the routes, the services and the limits for callers.
#include "precheck/check_configuration.hpp"

#include <set>

namespace yuccafall::precheck {

namespace {

void check_times(routing::route const& route, std::vector<finding>& out)
{
    if (route.target_latency.count() == 0)
    {
        out.emplace_back(zero_target_latency{route.name});
        return;
    }
    if (route.timeout < route.target_latency)
    {
        out.emplace_back(timeout_below_target{route.name, route.timeout,
                                              route.target_latency});
        return;
    }
    auto const possible = route.timeout / route.target_latency;
    if (route.attempts.value() > possible)
    {
        out.emplace_back(too_many_attempts{
            route.name, route.attempts,
            core::attempt_count(static_cast<std::uint32_t>(possible))});
    }
}

void check_services(routing::configuration const& configuration,
                    std::vector<finding>& out)
{
    std::set<core::service_name> used;
    for (auto const& route : configuration.routes)
    {
        for (auto const& it : route.targets)
        {
            used.insert(it.service);
        }
    }
    for (auto const& [name, service] : configuration.services)
    {
        if (used.count(name) == 0)
        {
            out.emplace_back(unused_service{name});
        }
    }
}

void check_limits(routing::caller_limits const& it, std::vector<finding>& out)
{
    auto const check = [&](bool is_zero, caller_limit limit) {
        if (is_zero)
        {
            out.emplace_back(zero_caller_limit{limit});
        }
    };
    check(it.max_header_bytes.value() == 0, caller_limit::header_size);
    check(it.max_body_bytes.value() == 0, caller_limit::body_size);
    check(it.header_timeout.count() == 0, caller_limit::header_timeout);
    check(it.idle_timeout.count() == 0, caller_limit::idle_timeout);
}

} // namespace

std::vector<finding>
check_configuration(routing::configuration const& configuration)
{
    std::vector<finding> out;
    for (auto const& route : configuration.routes)
    {
        check_times(route, out);
    }
    for (auto const& it : configuration.unused_targets)
    {
        out.emplace_back(zero_weight_target{it.route, it.service});
    }
    for (auto const& it : configuration.unknown_kinds)
    {
        out.emplace_back(unknown_route_kind{it.route, it.word});
    }
    check_services(configuration, out);
    check_limits(configuration.limits, out);
    return out;
}

} // namespace yuccafall::precheck
