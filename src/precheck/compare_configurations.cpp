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

std::vector<field_change> changed_fields(routing::route const& before,
                                         routing::route const& after)
{
    std::vector<field_change> out;
    auto const compare = [&](char const* field, std::string a, std::string b) {
        if (a != b)
        {
            out.push_back({field, std::move(a), std::move(b)});
        }
    };
    auto const ms = [](core::milliseconds it) {
        return fmt::format("{}ms", it.count());
    };
    compare("name", before.name.value(), after.name.value());
    compare("kind", std::string(name_of(before.kind)),
            std::string(name_of(after.kind)));
    compare("timeout", ms(before.timeout), ms(after.timeout));
    compare("target latency", ms(before.target_latency),
            ms(after.target_latency));
    compare("rank", std::to_string(before.rank.value()),
            std::to_string(after.rank.value()));
    compare("attempts", std::to_string(before.attempts.value()),
            std::to_string(after.attempts.value()));
    compare("targets", targets_text(before), targets_text(after));
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
        if (in_force.services.count(name) == 0)
        {
            out.emplace_back(service_added{name});
        }
        else if (proposed.services.count(name) == 0)
        {
            out.emplace_back(service_removed{name});
        }
    }
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
        auto out = fmt::format("route \"{}\" changed:", it.route.value());
        char const* separator = " ";
        for (auto const& change : it.fields)
        {
            out += fmt::format("{}{} {} -> {}", separator, change.field,
                               change.before, change.after);
            separator = ", ";
        }
        return out;
    }
    std::string operator()(service_added const& it) const
    {
        return fmt::format("service \"{}\" added", it.service.value());
    }
    std::string operator()(service_removed const& it) const
    {
        return fmt::format("service \"{}\" removed", it.service.value());
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
    return out;
}

std::string to_text(difference const& it)
{
    return std::visit(describe{}, it);
}

} // namespace yuccafall::precheck
