// Defines the rows of the routes table and of the pools table, which an
// operator edits.
#ifndef YUCCAFALL_TABLES_TABLES_HPP
#define YUCCAFALL_TABLES_TABLES_HPP

#include <string>
#include <vector>

#include "core/ids.hpp"
#include "core/units.hpp"

namespace yuccafall::tables {

// Whether the requests of a route are short or long.
enum class work_class
{
    short_requests,
    long_requests,
    // Nodes choose the class from the observed requests of the route.
    automatic,
};

struct route
{
    core::route_name name;
    // An exact name, or "*" for any host.
    std::string host;
    // A prefix that matches up to a path-segment boundary.
    std::string path;
    // An exact name, or "*" for any known method.
    std::string method;
    core::pool_name pool;
    core::milliseconds deadline{};
    bool idempotent = false;
    work_class work = work_class::automatic;
};

struct pool
{
    core::pool_name name;
    core::service_name service;
    core::slot_count slots;
    // Number of slots that only short requests may use. Invariant: less than
    // `slots`.
    core::slot_count reserved_for_short;
    core::connection_count connections;
    core::queue_length queue;
    core::percentage retry_budget;
    // The name "local" means the data centre of the node that uses the table.
    std::vector<core::data_centre> data_centres;
};

// Invariant of a value that read_tables returned: each route refers to a pool
// in the same value, and row names are unique within each table.
struct tables
{
    std::vector<route> routes;
    std::vector<pool> pools;
};

// The unparsed text of both tables as the platform publishes it.
struct table_texts
{
    std::string routes;
    std::string pools;
};

} // namespace yuccafall::tables

#endif
