// Checks whole rows, and the references and conflicts between rows.
#include "tables/validation.hpp"

#include <algorithm>
#include <iterator>
#include <map>
#include <optional>
#include <set>
#include <tuple>

#include <fmt/format.h>

#include "tables/byte_scan.hpp"
#include "tables/columns.hpp"
#include "tables/row_reader.hpp"

namespace yuccafall::tables {

namespace {

constexpr std::uint32_t max_slots = 1024;
constexpr std::uint32_t max_connections = 65535;
constexpr std::uint32_t max_queue_length = 10000;

using raw_rows = std::vector<raw_row>;

template <class Strong>
parse_result<Strong> parse_id(std::string_view text)
{
    return parse_name(text).map(
        [](std::string name) { return Strong(std::move(name)); });
}

template <class Strong>
auto count_parser(std::uint32_t lowest, std::uint32_t highest)
{
    return [=](std::string_view text) -> parse_result<Strong> {
        return parse_count(text, lowest, highest).map([](std::uint32_t n) {
            return Strong(n);
        });
    };
}

// Leaves `target` at its default if the cell is missing or invalid. The fault
// of that cell makes read_tables reject the tables, so the default is never
// used.
template <class T>
void assign_if_valid(T& target, std::optional<T> value)
{
    if (value)
    {
        target = std::move(*value);
    }
}

// Reports every row whose name an earlier row has.
class unique_names
{
public:
    void add(row_reader& row)
    {
        auto const* name = std::get_if<row_name>(&row.reference());
        if (name == nullptr)
        {
            return;
        }
        auto const [it, is_new] = lines_.emplace(*name, row.line());
        if (!is_new)
        {
            row.add_fault("name", fmt::format("the name is taken by the row "
                                              "at line {}",
                                              it->second.value()));
        }
    }

    bool has(std::string const& name) const
    {
        return lines_.count(row_name(name)) > 0;
    }

private:
    std::map<row_name, line_number> lines_;
};

// Reports routes that are never selected for any request. The more specific
// route always wins, so a route is unreachable only if an earlier row has the
// same host, path and method, or if its method is "*" and every known method
// has a row of its own for the same host and path.
class reachability_check
{
public:
    void add(row_reader& row, route const& it)
    {
        if (it.host.empty() || it.path.empty() || it.method.empty())
        {
            return;
        }
        auto& methods = seen_routes_[{it.host, it.path}];
        auto const [seen, is_new] =
            methods.emplace(it.method, seen_route{row, row.line()});
        if (!is_new)
        {
            row.add_fault("path", fmt::format("the route is unreachable: the "
                                              "row at line {} has the same "
                                              "host, path and method",
                                              seen->second.line.value()));
        }
    }

    void report_shadowed_wildcards()
    {
        for (auto& [host_and_path, methods] : seen_routes_)
        {
            auto const wildcard = methods.find("*");
            if (wildcard != methods.end() &&
                methods.size() == known_methods.size() + 1)
            {
                wildcard->second.row.add_fault(
                    "method", "the route is unreachable: every method has a "
                              "row of its own for this host and path");
            }
        }
    }

private:
    struct seen_route
    {
        row_reader row;
        line_number line;
    };

    std::map<std::pair<std::string, std::string>,
             std::map<std::string, seen_route>>
        seen_routes_;
};

pool read_pool(row_reader& row)
{
    pool it;
    assign_if_valid(it.name, row.read("name", parse_id<core::pool_name>));
    assign_if_valid(it.service,
                    row.read("service", parse_id<core::service_name>));
    auto const slots =
        row.read("slots", count_parser<core::slot_count>(1, max_slots));
    auto const reserved = row.read(
        "reserved_for_short", count_parser<core::slot_count>(0, max_slots));
    assign_if_valid(it.slots, slots);
    assign_if_valid(it.reserved_for_short, reserved);
    if (slots && reserved && !(*reserved < *slots))
    {
        row.add_fault("reserved_for_short",
                      fmt::format("{} is not less than the {} slots",
                                  reserved->value(), slots->value()));
    }
    assign_if_valid(
        it.connections,
        row.read("connections",
                 count_parser<core::connection_count>(1, max_connections)));
    assign_if_valid(it.queue,
                    row.read("queue", count_parser<core::queue_length>(
                                          0, max_queue_length)));
    assign_if_valid(it.retry_budget,
                    row.read("retry_budget", parse_percentage));
    assign_if_valid(it.data_centres,
                    row.read_list("data_centres", parse_id<core::data_centre>));
    return it;
}

void check_data_centres(row_reader& row, pool const& it)
{
    std::set<core::data_centre> seen;
    for (auto const& name : it.data_centres)
    {
        if (!seen.insert(name).second)
        {
            row.add_fault("data_centres",
                          fmt::format("{} is listed more than once",
                                      quoted(name.value())));
        }
    }
}

route read_route(row_reader& row)
{
    route it;
    assign_if_valid(it.name, row.read("name", parse_id<core::route_name>));
    assign_if_valid(it.host, row.read("host", parse_host));
    assign_if_valid(it.path, row.read("path", parse_path));
    assign_if_valid(it.method, row.read("method", parse_method));
    assign_if_valid(it.pool, row.read("pool", parse_id<core::pool_name>));
    assign_if_valid(it.deadline, row.read("deadline", parse_deadline));
    assign_if_valid(it.idempotent, row.read("idempotent", parse_bool));
    assign_if_valid(it.work, row.read("work", parse_work_class));
    return it;
}

std::vector<pool> read_pools(raw_rows const& rows, unique_names& names,
                             fault_list& faults)
{
    std::vector<pool> pools;
    for (auto const& raw : rows)
    {
        row_reader row(raw, faults);
        row.check_columns(pool_columns);
        names.add(row);
        pools.push_back(read_pool(row));
        check_data_centres(row, pools.back());
    }
    return pools;
}

// `pools` has the names of the pools, or is null if the pools table could not
// be parsed. The references to pools are not checked then, since a fault for
// every route would tell the operator nothing new.
std::vector<route> read_routes(raw_rows const& rows, unique_names const* pools,
                               fault_list& faults)
{
    std::vector<route> routes;
    unique_names names;
    reachability_check reachability;
    for (auto const& raw : rows)
    {
        row_reader row(raw, faults);
        row.check_columns(route_columns);
        names.add(row);
        auto it = read_route(row);
        auto const& pool = it.pool.value();
        if (pools != nullptr && !pool.empty() && !pools->has(pool))
        {
            row.add_fault(
                "pool", fmt::format("{} is not a row of pools", quoted(pool)));
        }
        reachability.add(row, it);
        routes.push_back(std::move(it));
    }
    reachability.report_shadowed_wildcards();
    return routes;
}

std::optional<raw_rows> parse_rows(std::string const& text, fault_list& faults)
{
    scan_bytes(text, faults);
    if (!faults.empty())
    {
        return std::nullopt;
    }
    return read_rows(text, faults);
}

} // namespace

tl::expected<tables, std::vector<fault>> read_tables(table_texts const& texts)
{
    tables it;
    fault_list pool_faults(table_kind::pools);
    fault_list route_faults(table_kind::routes);
    unique_names pool_names;
    auto const pool_rows = parse_rows(texts.pools, pool_faults);
    if (pool_rows)
    {
        it.pools = read_pools(*pool_rows, pool_names, pool_faults);
    }
    if (auto const rows = parse_rows(texts.routes, route_faults))
    {
        it.routes =
            read_routes(*rows, pool_rows ? &pool_names : nullptr, route_faults);
    }
    if (route_faults.empty() && pool_faults.empty())
    {
        return it;
    }
    auto faults = route_faults.take();
    auto more = pool_faults.take();
    std::move(more.begin(), more.end(), std::back_inserter(faults));
    return tl::unexpected(std::move(faults));
}

} // namespace yuccafall::tables
