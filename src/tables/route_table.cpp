// Indexes the routes by host, path and method.
#include "tables/route_table.hpp"

#include <algorithm>

#include <fmt/format.h>

#include "tables/request_target.hpp"

namespace yuccafall::tables {

namespace {

constexpr std::size_t any_method_index = known_methods.size();

// Returns the index of a known method, or any_method_index for any
// other method.
std::size_t method_index(std::string_view method)
{
    auto const it =
        std::find(known_methods.begin(), known_methods.end(), method);
    return static_cast<std::size_t>(it - known_methods.begin());
}

// Returns the next shorter prefix that ends at a segment boundary. The result
// is empty for "/".
std::string_view parent_path(std::string_view path)
{
    if (path.size() <= 1)
    {
        return {};
    }
    auto const slash = path.rfind('/');
    return path.substr(0, slash == 0 ? 1 : slash);
}

// Returns the longest prefix that ends at a segment boundary and has at most
// the given number of bytes.
std::string_view truncate_at_boundary(std::string_view path,
                                      std::size_t max_length)
{
    if (path.size() <= max_length)
    {
        return path;
    }
    auto const end = path.rfind('/', max_length);
    return path.substr(0, end == 0 ? 1 : end);
}

tl::unexpected<core::error> no_route(std::string detail)
{
    return core::failure(core::error_kind::no_route, std::move(detail));
}

// Returns why a route that matches the request was not selected.
match_outcome compare_with_winner(route const& other, route const& winner)
{
    if (other.host != winner.host)
    {
        return match_outcome::host_less_specific;
    }
    return other.path != winner.path ? match_outcome::path_less_specific
                                     : match_outcome::method_less_specific;
}

std::string reason_for(route_explanation const& it)
{
    if (it.winner == nullptr)
    {
        return it.candidates.empty()
                   ? "no route matches host and path"
                   : "routes match host and path, but none matches the method";
    }
    auto const others =
        std::count_if(it.candidates.begin(), it.candidates.end(),
                      [](route_candidate const& other) {
                          return other.outcome != match_outcome::won &&
                                 other.outcome != match_outcome::other_method;
                      });
    auto const& winner = *it.winner;
    return fmt::format("route {} matches host {}, path {} and method {}; "
                       "less specific matches: {}",
                       winner.name.value(), winner.host, winner.path,
                       winner.method, others);
}

} // namespace

std::string_view to_string(match_outcome it) noexcept
{
    switch (it)
    {
    case match_outcome::won:
        return "won";
    case match_outcome::other_method:
        return "other method";
    case match_outcome::method_less_specific:
        return "method less specific";
    case match_outcome::path_less_specific:
        return "path less specific";
    case match_outcome::host_less_specific:
        return "host less specific";
    }
    return "";
}

route_table::route_table(tables it) : rows_(std::move(it))
{
    for (auto const& row : rows_.pools)
    {
        pools_.emplace(row.name.value(), &row);
    }
    for (auto const& row : rows_.routes)
    {
        add(row);
    }
}

void route_table::add(route const& it)
{
    auto& host = it.host == "*" ? any_host_ : hosts_[it.host];
    host.longest_path = std::max(host.longest_path, it.path.size());
    host.paths[it.path][method_index(it.method)] = &it;
}

route_table::host_routes const*
route_table::find_host(std::string_view host) const
{
    auto const it = hosts_.find(host);
    return it == hosts_.end() ? nullptr : &it->second;
}

// Visits the index entries whose host and path match, the most specific entry
// first, until the visitor returns true.
template <class Visitor>
void route_table::visit_matches(std::string_view host, std::string_view path,
                                Visitor visitor) const
{
    for (auto const* routes : {find_host(host), &any_host_})
    {
        if (routes == nullptr)
        {
            continue;
        }
        // Prefixes longer than the longest path in the index cannot match.
        // Without this limit, a long path would cost a lookup for each of its
        // segments.
        auto prefix = truncate_at_boundary(path, routes->longest_path);
        for (; !prefix.empty(); prefix = parent_path(prefix))
        {
            auto const it = routes->paths.find(prefix);
            if (it != routes->paths.end() && visitor(it->second))
            {
                return;
            }
        }
    }
}

core::result<route const*>
route_table::find_route(request_attributes const& request) const
{
    auto const path = canonical_path(request.path);
    if (!path)
    {
        return tl::unexpected(path.error());
    }
    auto const index = method_index(request.method);
    if (index == any_method_index)
    {
        return no_route(fmt::format("the method is none of {}",
                                    fmt::join(known_methods, ", ")));
    }
    route const* winner = nullptr;
    visit_matches(
        canonical_host(request.host), *path, [&](method_routes const& it) {
            winner = it[index] != nullptr ? it[index] : it[any_method_index];
            return winner != nullptr;
        });
    if (winner == nullptr)
    {
        return no_route("no route matches host, path and method");
    }
    return winner;
}

core::result<route_explanation>
route_table::explain_route(request_attributes const& request) const
{
    auto const path = canonical_path(request.path);
    if (!path)
    {
        return tl::unexpected(path.error());
    }
    route_explanation result;
    if (auto const found = find_route(request))
    {
        result.winner = *found;
    }
    auto const index = method_index(request.method);
    auto const outcome = [&](route const& it, std::size_t n) {
        if (index == any_method_index || (n != index && n != any_method_index))
        {
            return match_outcome::other_method;
        }
        return &it == result.winner ? match_outcome::won
                                    : compare_with_winner(it, *result.winner);
    };
    visit_matches(
        canonical_host(request.host), *path, [&](method_routes const& it) {
            for (std::size_t n = 0; n < it.size(); ++n)
            {
                if (it[n] != nullptr)
                {
                    result.candidates.push_back({it[n], outcome(*it[n], n)});
                }
            }
            return false;
        });
    result.reason = reason_for(result);
    return result;
}

pool const& route_table::pool_of(route const& it) const
{
    // Tables that read_tables returned contain the pool of each route.
    return *pools_.at(it.pool.value());
}

pool const* route_table::find_pool(core::pool_name const& name) const
{
    auto const it = pools_.find(name.value());
    return it == pools_.end() ? nullptr : it->second;
}

} // namespace yuccafall::tables
