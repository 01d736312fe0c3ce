// Tests the example tables.
#include <string>

#include <catch2/catch.hpp>

#include "commands/table_files.hpp"
#include "tables/route_table.hpp"
#include "tables/validation.hpp"

using namespace yuccafall;
using namespace yuccafall::tables;

namespace {

struct expected_route
{
    std::string folder;
    std::string path;
    std::string method;
    std::string pool;
    bool idempotent;
    work_class work;
};

// CMake passes the absolute path of each source to the compiler, so __FILE__
// starts with the root of the repository.
std::string examples_folder()
{
    std::string const file = __FILE__;
    return file.substr(0, file.rfind("/src/commands/")) + "/examples/";
}

} // namespace

// Guards against an example that validation refuses, and against one that would
// let a booking, a purchase or an upload run twice.
TEST_CASE("the example tables route the requests of both deployments")
{
    auto const short_requests = work_class::short_requests;
    auto const long_requests = work_class::long_requests;
    auto const it = GENERATE_COPY(values<expected_route>({
        {"kovacic", "/filters/7", "GET", "catalogue", true, short_requests},
        {"kovacic", "/visits", "GET", "dispatch", true, short_requests},
        {"kovacic", "/visits", "POST", "dispatch", false, short_requests},
        {"kovacic", "/reports/photos", "POST", "reports", false, long_requests},
        {"kovacic", "/reports/airflow", "POST", "reports", false,
         long_requests},
        {"kayal", "/lookbooks/7", "GET", "lookbook-web", true, short_requests},
        {"kayal", "/licences", "POST", "licence-desk", false, short_requests},
        {"kayal", "/moodboards", "POST", "moodboard-vault", false,
         long_requests},
    }));
    INFO(it.folder << " " << it.method << " " << it.path);
    auto const texts =
        commands::read_table_files(examples_folder() + it.folder);
    REQUIRE(texts);
    auto const rows = read_tables(*texts);
    REQUIRE(rows);
    route_table const table(*rows);
    auto const found = table.find_route({"shop.example", it.path, it.method});
    REQUIRE(found);
    auto const& route = **found;
    auto const& pool = table.pool_of(route);
    REQUIRE(pool.name == core::pool_name(it.pool));
    REQUIRE(route.idempotent == it.idempotent);
    REQUIRE(route.work == it.work);
    REQUIRE(pool.slots == core::slot_count(6));
    REQUIRE(pool.connections == core::connection_count(130));
}
