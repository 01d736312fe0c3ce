// Finds the route of a request. The table is immutable, so that traffic threads
// share it without locks.
//
// The most specific route wins: an exact host takes precedence over "*", then
// the longer path over the shorter one, then an exact method over "*". The path
// of a route is a prefix that matches up to a segment boundary: "/a" matches
// "/a", "/a/" and "/a/b", but not "/ab". The order of the rows has no effect.
// The path and the host of a request are compared in the canonical form that
// request_target.hpp defines.
#ifndef YUCCAFALL_TABLES_ROUTE_TABLE_HPP
#define YUCCAFALL_TABLES_ROUTE_TABLE_HPP

#include <cstddef>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "core/error.hpp"
#include "tables/cell_parsers.hpp"
#include "tables/tables.hpp"

namespace yuccafall::tables {

// The parts of a request that select its route, as they were received. The
// views must stay valid only until the function that takes them returns.
struct request_attributes
{
    // Value of the Host header, which may include a port.
    std::string_view host;
    // May include a query.
    std::string_view path;
    // Case-sensitive.
    std::string_view method;
};

// Why a route whose host and path match was or was not selected.
enum class match_outcome
{
    won,
    other_method,
    method_less_specific,
    path_less_specific,
    host_less_specific,
};

std::string_view to_string(match_outcome it) noexcept;

struct route_candidate
{
    route const* row;
    match_outcome outcome;
};

struct route_explanation
{
    // Null if no route matches.
    route const* winner = nullptr;
    // All routes whose host and path match. Routes with a more specific host or
    // path come first.
    std::vector<route_candidate> candidates;
    // One sentence that says why the winner was selected, or why there is none.
    std::string reason;
};

class route_table
{
public:
    // The tables must have been returned by read_tables.
    explicit route_table(tables it);

    // The index holds pointers to the rows and views of them, so a copy would
    // refer to the rows of the original.
    route_table(route_table const&) = delete;
    route_table& operator=(route_table const&) = delete;

    // Fails with bad_request if canonical_path rejects the path, and with
    // no_route if no route matches. The returned row lives as long as this
    // table.
    core::result<route const*>
    find_route(request_attributes const& request) const;

    // Finds the route as find_route does and also returns the other candidates.
    // It is slower than find_route. Fails with bad_request only.
    core::result<route_explanation>
    explain_route(request_attributes const& request) const;

    pool const& pool_of(route const& it) const;
    pool const* find_pool(core::pool_name const& name) const;
    tables const& rows() const { return rows_; }

private:
    // The routes of one host and path, indexed by method. The route with the
    // method "*" is the last element.
    using method_routes = std::array<route const*, known_methods.size() + 1>;

    struct host_routes
    {
        // Invariant: the keys are views of the paths in rows_.
        std::unordered_map<std::string_view, method_routes> paths;
        std::size_t longest_path = 0;
    };

    void add(route const& it);
    host_routes const* find_host(std::string_view host) const;
    template <class Visitor>
    void visit_matches(std::string_view host, std::string_view path,
                       Visitor visitor) const;

    tables rows_;
    // Invariant: the keys are views of the hosts in rows_. Routes with the host
    // "*" are in any_host_ instead.
    std::unordered_map<std::string_view, host_routes> hosts_;
    host_routes any_host_;
    std::unordered_map<std::string_view, pool const*> pools_;
};

} // namespace yuccafall::tables

#endif
