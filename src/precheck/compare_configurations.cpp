// Pairs routes by host and prefix, which are unique in a configuration, and
// services by name.
#include "precheck/compare_configurations.hpp"

#include <map>
#include <set>
#include <utility>

#include <fmt/format.h>

namespace yuccafall::precheck {

namespace {

using routes_by_place =
    std::map<std::pair<std::string, std::string>, routing::route const*>;

routes_by_place index_routes(routing::configuration const& configuration)
{
    routes_by_place out;
    for (auto const& it : configuration.routes)
    {
        out.emplace(std::pair(it.host, it.prefix), &it);
    }
    return out;
}

// The order of targets has no effect on their shares.
std::string targets_text(routing::route const& route)
{
    std::multimap<core::service_name, core::weight> sorted;
    for (auto const& it : route.targets)
    {
        sorted.emplace(it.service, it.weight);
    }
    std::string out;
    for (auto const& [service, weight] : sorted)
    {
        out += fmt::format("{}{}:{}", out.empty() ? "" : "+", service.value(),
                           weight.value());
    }
    return out;
}

std::string to_text(core::milliseconds it)
{
    return fmt::format("{}ms", it.count());
}

std::string to_text(core::byte_count it)
{
    return fmt::format("{}B", it.value());
}

// Appends the field if its texts differ.
void compare_field(char const* field, std::string before, std::string after,
                   std::vector<field_change>& out)
{
    if (before != after)
    {
        out.push_back({field, std::move(before), std::move(after)});
    }
}

std::vector<field_change> changed_fields(routing::route const& before,
                                         routing::route const& after)
{
    std::vector<field_change> out;
    compare_field("name", before.name.value(), after.name.value(), out);
    compare_field("kind", std::string(name_of(before.kind)),
                  std::string(name_of(after.kind)), out);
    compare_field("timeout", to_text(before.timeout), to_text(after.timeout),
                  out);
    compare_field("target latency", to_text(before.target_latency),
                  to_text(after.target_latency), out);
    compare_field("rank", std::to_string(before.rank.value()),
                  std::to_string(after.rank.value()), out);
    compare_field("attempts", std::to_string(before.attempts.value()),
                  std::to_string(after.attempts.value()), out);
    compare_field("targets", targets_text(before), targets_text(after), out);
    return out;
}

// The text is empty if the service has no cold rate.
std::string warm_up_text(routing::service const& it)
{
    if (!it.warm_up)
    {
        return {};
    }
    return fmt::format("{}/s for {}",
                       static_cast<double>(it.warm_up->rate.value()) / 1'000,
                       to_text(it.warm_up->duration));
}

std::vector<field_change> changed_fields(routing::service const& before,
                                         routing::service const& after)
{
    std::vector<field_change> out;
    compare_field("health path", before.health_path, after.health_path, out);
    compare_field("cold rate", warm_up_text(before), warm_up_text(after), out);
    return out;
}

std::vector<field_change> changed_fields(routing::caller_limits const& before,
                                         routing::caller_limits const& after)
{
    std::vector<field_change> out;
    compare_field("header size", to_text(before.max_header_bytes),
                  to_text(after.max_header_bytes), out);
    compare_field("body size", to_text(before.max_body_bytes),
                  to_text(after.max_body_bytes), out);
    compare_field("header timeout", to_text(before.header_timeout),
                  to_text(after.header_timeout), out);
    compare_field("idle timeout", to_text(before.idle_timeout),
                  to_text(after.idle_timeout), out);
    return out;
}

void compare_routes(routing::configuration const& in_force,
                    routing::configuration const& proposed,
                    std::vector<difference>& out)
{
    auto const before = index_routes(in_force);
    auto const after = index_routes(proposed);
    auto all = before;
    all.insert(after.begin(), after.end());
    for (auto const& entry : all)
    {
        auto const old_route = before.find(entry.first);
        auto const new_route = after.find(entry.first);
        if (old_route == before.end())
        {
            out.emplace_back(route_added{new_route->second->name});
            continue;
        }
        if (new_route == after.end())
        {
            out.emplace_back(route_removed{old_route->second->name});
            continue;
        }
        auto fields = changed_fields(*old_route->second, *new_route->second);
        if (!fields.empty())
        {
            out.emplace_back(
                route_changed{new_route->second->name, std::move(fields)});
        }
    }
}

void compare_services(routing::configuration const& in_force,
                      routing::configuration const& proposed,
                      std::vector<difference>& out)
{
    std::set<core::service_name> names;
    for (auto const* it : {&in_force, &proposed})
    {
        for (auto const& entry : it->services)
        {
            names.insert(entry.first);
        }
    }
    for (auto const& name : names)
    {
        auto const before = in_force.services.find(name);
        auto const after = proposed.services.find(name);
        if (before == in_force.services.end())
        {
            out.emplace_back(service_added{name});
            continue;
        }
        if (after == proposed.services.end())
        {
            out.emplace_back(service_removed{name});
            continue;
        }
        auto fields = changed_fields(before->second, after->second);
        if (!fields.empty())
        {
            out.emplace_back(service_changed{name, std::move(fields)});
        }
    }
}

std::string to_text(std::vector<field_change> const& fields)
{
    std::string out;
    for (auto const& it : fields)
    {
        out += fmt::format("{}{} {} -> {}", out.empty() ? "" : ", ", it.field,
                           it.before.empty() ? "none" : it.before,
                           it.after.empty() ? "none" : it.after);
    }
    return out;
}

struct describe
{
    std::string operator()(version_not_higher const& it) const
    {
        return fmt::format("version {} is not higher than {}, which is in "
                           "force; nodes ignore it",
                           it.proposed.value(), it.in_force.value());
    }
    std::string operator()(route_added const& it) const
    {
        return fmt::format("route \"{}\" added", it.route.value());
    }
    std::string operator()(route_removed const& it) const
    {
        return fmt::format("route \"{}\" removed", it.route.value());
    }
    std::string operator()(route_changed const& it) const
    {
        return fmt::format("route \"{}\" changed: {}", it.route.value(),
                           to_text(it.fields));
    }
    std::string operator()(service_added const& it) const
    {
        return fmt::format("service \"{}\" added", it.service.value());
    }
    std::string operator()(service_removed const& it) const
    {
        return fmt::format("service \"{}\" removed", it.service.value());
    }
    std::string operator()(service_changed const& it) const
    {
        return fmt::format("service \"{}\" changed: {}", it.service.value(),
                           to_text(it.fields));
    }
    std::string operator()(limits_changed const& it) const
    {
        return fmt::format("limits changed: {}", to_text(it.fields));
    }
};

} // namespace

std::vector<difference>
compare_configurations(routing::configuration const& in_force,
                       routing::configuration const& proposed)
{
    std::vector<difference> out;
    if (proposed.version <= in_force.version)
    {
        out.emplace_back(
            version_not_higher{in_force.version, proposed.version});
    }
    compare_routes(in_force, proposed, out);
    compare_services(in_force, proposed, out);
    auto fields = changed_fields(in_force.limits, proposed.limits);
    if (!fields.empty())
    {
        out.emplace_back(limits_changed{std::move(fields)});
    }
    return out;
}

std::string to_text(difference const& it)
{
    return std::visit(describe{}, it);
}

} // namespace yuccafall::precheck
