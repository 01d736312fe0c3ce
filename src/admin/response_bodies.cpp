// Formats the JSON bodies of /status, /explain and /where.
#include "admin/response_bodies.hpp"

#include <algorithm>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace yuccafall::admin {

using nlohmann::json;

namespace {

// At most this many nodes on which the version is not in force are listed by
// name in each data centre. The counts include all of them.
constexpr std::size_t max_listed_laggards = 32;

json error_body(core::error_kind kind, std::string reason)
{
    return {{"error", core::error_kind_info_for(kind).name},
            {"reason", std::move(reason)}};
}

struct url_parts
{
    std::string host;
    std::string target;
};

// Splits a URL of the form "http://host/path" or "host/path".
url_parts split_url(std::string_view url)
{
    constexpr std::string_view scheme = "http://";
    if (url.substr(0, scheme.size()) == scheme)
    {
        url.remove_prefix(scheme.size());
    }
    auto const slash = std::min(url.find('/'), url.size());
    auto target = std::string(url.substr(slash));
    return {std::string(url.substr(0, slash)), target.empty() ? "/" : target};
}

json targets_json(routing::route const& it)
{
    auto out = json::array();
    for (auto const& target : it.targets)
    {
        out.push_back({{"service", target.service.value()},
                       {"weight", target.weight.value()}});
    }
    return out;
}

using upstreams_by_service =
    std::map<core::service_name, std::vector<balancing::upstream>>;

json upstreams_json(routing::route const& route,
                    upstreams_by_service const& upstreams)
{
    auto out = json::array();
    for (auto const& target : route.targets)
    {
        auto const found = upstreams.find(target.service);
        if (found == upstreams.end())
        {
            continue;
        }
        for (auto const& it : found->second)
        {
            out.push_back({{"id", it.id.value()},
                           {"service", target.service.value()},
                           {"data_centre", it.data_centre.value()},
                           {"node", core::to_string(it.node)},
                           {"slots", it.slots.value()}});
        }
    }
    return out;
}

json evacuations_json(std::vector<evacuation_status> const& evacuations)
{
    auto out = json::array();
    for (auto const& it : evacuations)
    {
        out.push_back({{"data_centre", it.data_centre.value()},
                       {"revision", it.revision.value()},
                       {"known_for_ms", it.known_for.count()},
                       {"workers", it.workers}});
    }
    return out;
}

// Reads the data centres from the output of evacuations_json().
std::set<core::data_centre> parse_evacuations(json const& array)
{
    std::set<core::data_centre> out;
    for (auto const& it : array)
    {
        out.emplace(it.at("data_centre").get<std::string>());
    }
    return out;
}

struct data_centre_counts
{
    std::uint64_t in_force = 0;
    std::uint64_t behind = 0;
    std::uint64_t refused = 0;
    std::uint64_t unknown = 0;
    std::vector<std::string> laggards;
};

void add_to_counts(data_centre_counts& to, node_status const& it,
                   core::configuration_version version)
{
    if (it.responded && it.version >= version)
    {
        ++to.in_force;
        return;
    }
    (it.responded ? to.behind : to.unknown) += 1;
    to.refused += it.responded && it.refused > 0 ? 1 : 0;
    if (to.laggards.size() < max_listed_laggards)
    {
        to.laggards.push_back(it.name);
    }
}

// Returns, for each evacuation that any node has seen, how many nodes have.
json evacuation_rows(std::vector<node_status> const& nodes)
{
    std::set<core::data_centre> evacuated;
    for (auto const& it : nodes)
    {
        evacuated.insert(it.evacuated.begin(), it.evacuated.end());
    }
    auto rows = json::array();
    for (auto const& data_centre : evacuated)
    {
        std::uint64_t seen = 0;
        std::uint64_t unknown = 0;
        std::vector<std::string> laggards;
        for (auto const& it : nodes)
        {
            if (it.evacuated.count(data_centre) != 0)
            {
                ++seen;
                continue;
            }
            unknown += it.responded ? 0 : 1;
            if (laggards.size() < max_listed_laggards)
            {
                laggards.push_back(it.name);
            }
        }
        rows.push_back({{"data_centre", data_centre.value()},
                        {"seen", seen},
                        {"not_seen", nodes.size() - seen - unknown},
                        {"unknown", unknown},
                        {"laggards", laggards}});
    }
    return rows;
}

} // namespace

std::string status_body(node_state const& it)
{
    auto const& control = it.control;
    json const out = {{"vm", it.identity.vm.value()},
                      {"service", it.identity.service.value()},
                      {"data_centre", it.identity.data_centre.value()},
                      {"ready", control.ready},
                      {"leaving", control.leaving},
                      {"version", control.version.value()},
                      {"applied_ago_ms", control.applied_ago.count()},
                      {"confirmed_ago_ms", control.confirmed_ago.count()},
                      {"as_of", control.as_of.value()},
                      {"routes", control.routes},
                      {"routes_of_unknown_kind", control.unknown_kinds},
                      {"workers", control.workers},
                      {"evacuations", evacuations_json(control.evacuations)},
                      {"peers", control.peers},
                      {"reads_store", control.reads_store},
                      {"store_reachable", control.store_reachable},
                      {"store_calls", control.store_calls},
                      {"refused", control.refused}};
    return out.dump();
}

std::string explain_body(node_state const& it, std::string_view method,
                         std::string_view url)
{
    if (!it.view || !it.view->routes)
    {
        return error_body(core::error_kind::not_ready,
                          "the node has not received a configuration yet")
            .dump();
    }
    auto const parts = split_url(url);
    auto const* route = it.view->routes->find(parts.host, parts.target);
    if (route == nullptr)
    {
        return error_body(
                   core::error_kind::no_route,
                   fmt::format("no route of host \"{}\" matches the path",
                               parts.host))
            .dump();
    }
    json const out = {
        {"method", method},
        {"route", route->name.value()},
        {"version", it.view->routes->source_configuration().version.value()},
        {"kind", name_of(route->kind)},
        {"timeout_ms", route->timeout.count()},
        {"aim_ms", route->target_latency.count()},
        {"rank", route->rank.value()},
        {"attempts", route->attempts.value()},
        {"targets", targets_json(*route)},
        {"reason",
         fmt::format("\"{}\" is the longest prefix of host \"{}\" that matches "
                     "the path",
                     route->prefix, route->host)},
        {"upstreams", upstreams_json(*route, it.view->upstreams)},
        {"evacuated_upstreams",
         upstreams_json(*route, it.view->evacuated_upstreams)}};
    return out.dump();
}

std::optional<node_status> parse_status(std::string const& body)
{
    try
    {
        auto const it = json::parse(body);
        node_status out;
        out.responded = true;
        out.name = it.at("vm").get<std::string>();
        out.data_centre =
            core::data_centre(it.at("data_centre").get<std::string>());
        out.version =
            core::configuration_version(it.at("version").get<std::uint64_t>());
        out.refused = it.at("refused").get<std::uint64_t>();
        // An older version of the program does not state it.
        out.evacuated =
            parse_evacuations(it.value("evacuations", json::array()));
        return out;
    }
    catch (json::exception const&)
    {
        return std::nullopt;
    }
}

std::string where_body(core::configuration_version version,
                       std::vector<node_status> const& nodes)
{
    std::map<core::data_centre, data_centre_counts> counts;
    for (auto const& it : nodes)
    {
        add_to_counts(counts[it.data_centre], it, version);
    }
    auto rows = json::array();
    bool complete = true;
    for (auto const& [name, it] : counts)
    {
        complete = complete && it.behind == 0 && it.unknown == 0;
        rows.push_back({{"name", name.value()},
                        {"in_force", it.in_force},
                        {"behind", it.behind},
                        {"refused", it.refused},
                        {"unknown", it.unknown},
                        {"laggards", it.laggards}});
    }
    json const out = {{"revision", version.value()},
                      {"data_centres", rows},
                      {"evacuations", evacuation_rows(nodes)},
                      {"complete", complete}};
    return out.dump();
}

std::string configuration_missing_body()
{
    return nlohmann::json{
        {"error", "no_configuration"},
        {"reason", "the node has no configuration in force, or its copy of "
                   "the store holds another one that it does not apply"}}
        .dump();
}

} // namespace yuccafall::admin
