// Tests the parsing and validation of the tables.
#include <algorithm>
#include <set>
#include <string>
#include <vector>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include "tables/byte_scan.hpp"
#include "tables/tests/fixture.hpp"
#include "tables/validation.hpp"

using namespace yuccafall;
using namespace yuccafall::tables;
using namespace yuccafall::tables::tests;

namespace {

std::string replaced(std::string text, std::string const& from,
                     std::string const& to)
{
    auto const at = text.find(from);
    REQUIRE(at != std::string::npos);
    return text.replace(at, from.size(), to);
}

std::vector<std::string> faults_of(table_texts const& texts)
{
    std::vector<std::string> lines;
    auto const it = read_tables(texts);
    if (!it)
    {
        std::transform(it.error().begin(), it.error().end(),
                       std::back_inserter(lines), to_text);
    }
    return lines;
}

struct edit
{
    std::string from;
    std::string to;
    // The only fault that the edit causes must contain this text.
    std::string fault;
};

bool any_contains(std::vector<std::string> const& faults,
                  std::string const& part)
{
    return std::any_of(faults.begin(), faults.end(), [&](auto const& it) {
        return it.find(part) != std::string::npos;
    });
}

} // namespace

// Guards against a column that is read into the wrong member or not at all.
TEST_CASE("each column of valid tables is read")
{
    auto const it = read_tables(valid_texts());
    REQUIRE(it);
    REQUIRE(it->routes.size() == 2);
    auto const& route = it->routes[0];
    REQUIRE(route.name == core::route_name("look-up"));
    REQUIRE(route.host == "shop.example");
    REQUIRE(route.path == "/filters");
    REQUIRE(route.method == "GET");
    REQUIRE(route.pool == core::pool_name("catalogue"));
    REQUIRE(route.deadline == core::milliseconds(500));
    REQUIRE(route.idempotent);
    REQUIRE(route.work == work_class::short_requests);
    REQUIRE(it->routes[1].deadline == core::milliseconds(120'000));
    REQUIRE_FALSE(it->routes[1].idempotent);
    REQUIRE(it->routes[1].work == work_class::long_requests);
    auto const& pool = it->pools[0];
    REQUIRE(pool.name == core::pool_name("catalogue"));
    REQUIRE(pool.service == core::service_name("catalogue"));
    REQUIRE(pool.slots == core::slot_count(6));
    REQUIRE(pool.reserved_for_short == core::slot_count(2));
    REQUIRE(pool.connections == core::connection_count(130));
    REQUIRE(pool.queue == core::queue_length(50));
    REQUIRE(pool.retry_budget == core::percentage(20));
    REQUIRE(pool.data_centres ==
            std::vector{core::data_centre("local"), core::data_centre("lj-a")});
    REQUIRE(read_tables({"[]\n", "[]\n"}));
}

// Guards against an invalid value that is accepted or is reported at the wrong
// place. Each edit causes exactly one fault.
TEST_CASE("a fault of routes names row, line and column")
{
    auto const it = GENERATE(values<edit>({
        {"  path: /filters", "  paht: /filters",
         "line 2, row look-up, column "
         "path: the column is missing"},
        {"work: short", "work: short\n  weight: 1",
         "line 10, row look-up: unknown column \"weight\""},
        {"work: short", "work: short\n  work: long",
         "line 10, row look-up, column work: the column is given more than"},
        {"  idempotent: true\n", "",
         "line 2, row look-up, column idempotent: the column is missing"},
        {"name: upload", "name: look-up",
         "line 10, row look-up, column name: the name is taken by the row at "
         "line 2"},
        {"name: look-up", "name: Look up",
         "line 2, row 1, column name: \"Look"},
        {"name: look-up", "name:", "line 2, row 1, column name: the name is "},
        {"pool: catalogue", "pool: catalog",
         "line 6, row look-up, column pool: \"catalog\" is not a row of pools"},
        {"500ms", "500",
         "line 7, row look-up, column deadline: \"500\" is not"},
        {"500ms", "2h", "is not a time"},
        {"500ms", "-5s", "is not a time"},
        {"500ms", "0500ms", "is not a time"},
        {"500ms", "49ms", "\"49ms\" is outside of 50ms to 10m"},
        {"500ms", "11m", "\"11m\" is outside of 50ms to 10m"},
        {"500ms", "99999999999999999999s", "is outside of 50ms to 10m"},
        {"500ms", "[500ms]", "column deadline: the value is not a single"},
        {"idempotent: true", "idempotent: yes", "is not true or false"},
        {"work: short", "work: brief", "is not short, long or auto"},
        {"method: GET", "method: get", "\"get\" is not a method"},
        {"method: GET", "method: CONNECT", "\"CONNECT\" is not a method"},
        {"host: shop.example", "host: Shop.example", "is not a host"},
        {"host: shop.example", "host: shop.example:80", "is not a host"},
        {"host: shop.example", "host: \"*.example\"", "is not a host"},
        {"host: shop.example", "host: -a.example", "is not a host"},
        {"host: shop.example", "host: a..example", "is not a host"},
        {"/filters", "filters", "does not begin with \"/\""},
        {"/filters", "/filters/", "ends with \"/\""},
        {"/filters", "/a//b", "segment, which no request matches"},
        {"/filters", "/a/../b", "segment, which no request matches"},
        {"/filters", "/a%20b", "holds a character that is not allowed"},
        {"/filters", "/a?b", "holds a character that is not allowed"},
        {"work: short", "work: &w short", "line 9, row 1: an anchor is not"},
        {"work: short", "work: !!str short", "line 9, row 1: a tag is not"},
        {"work: short\n", "work: short\n- text\n",
         "line 10, row 2: the row is not a map of columns"},
        {"work: short\n", "work: short\n- []\n",
         "line 10, row 2: the row is not a map of columns"},
        {"work: short", "work: short\n  [a, b]: c",
         "line 10, row 1: a column name is not text"},
        {"work: short", "work: short\n  {a: b}: {c: d}",
         "line 10, row 1: a column name is not text"},
        {"work: short", "work: short\n  a: [[b, [c]]]",
         "line 10, row 1: nesti"},
        {"work: short", "work: short\n  <<: {a: b}", "unknown column \"<<\""},
        {"work: short", "work: \"short", "the YAML is invalid or truncated"},
        {"work: short\n", "work: short\n---\n", "more than one YAML document"},
        {"work: short", "work:\tshort", "line 9: a tab is not allowed"},
        {"work: short", "work: short\r", "line 9: a carriage return is not"},
        {"č", "\xC4", "line 1: byte 0xc4 is not valid UTF-8"},
        {"č", "\xC0\x80", "line 1: byte 0xc0 is not valid UTF-8"},
        {"č", "\xED\xA0\x80", "line 1: byte 0xed is not valid UTF-8"},
        {"č", std::string(1, '\0'), "line 1: the control character 0x00"},
        {"# ", "\xEF\xBB\xBF# ", "line 1: a byte order mark is not allowed"},
        {"long}\n", "long}", "line 11: the last line has no line end"},
        {"work: long}\n", "wo\n", "the YAML is invalid or truncated"},
        {"# ", "# " + std::string(max_line_length, 'x'),
         "line 1: the line is longer than 4096 bytes"},
        {valid_routes, "", "line 1: the table is empty"},
        {valid_routes, "# nothing\n", "line 1: the table is empty"},
        {valid_routes, "a: b\n", "line 1: the table is not a list of rows"},
        {valid_routes, "text\n", "line 1: the table is not a list of rows"},
        {valid_routes, std::string(max_table_size + 1, '\n'),
         "line 1: the table is larger than 1000000 bytes"},
    }));
    INFO(it.from << " -> " << it.to.substr(0, 100));
    auto faults =
        faults_of({replaced(valid_routes, it.from, it.to), valid_pools});
    // A misspelt column causes two faults: the column is unknown, and the
    // correct column is missing. Only the latter is checked here.
    faults.erase(std::remove_if(faults.begin(), faults.end(),
                                [](auto const& text) {
                                    return text.find("\"paht\"") !=
                                           std::string::npos;
                                }),
                 faults.end());
    CAPTURE(faults);
    REQUIRE(faults.size() == 1);
    REQUIRE(faults[0].find("routes, ") == 0);
    REQUIRE(any_contains(faults, it.fault));
}

TEST_CASE("a fault of pools names row, line and column")
{
    auto const it = GENERATE(values<edit>({
        {"slots: 6", "slots: 0",
         "line 3, row catalogue, column slots: \"0\" "
         "is outside of 1 to 1024"},
        {"slots: 6", "slots: 1025", "is outside of 1 to 1024"},
        {"slots: 6", "slots: 6ms", "is not a whole number without unit"},
        {"slots: 6", "slots: 0x6", "is not a whole number without unit"},
        {"slots: 6", "slots: ", "is not a whole number without unit"},
        {"reserved_for_short: 2", "reserved_for_short: 6",
         "line 4, row catalogue, column reserved_for_short: 6 is not less"},
        {"connections: 130", "connections: 65536", "is outside of 1 to 65535"},
        {"queue: 50", "queue: 10001", "is outside of 0 to 10000"},
        {"20%", "20", "is not a percentage"},
        {"20%", "101%", "is outside of 0% to 100%"},
        {"[local, lj-a]", "local", "is not a list of names"},
        {"[local, lj-a]", "[]", "is not a list of names"},
        {"[local, lj-a]", "[local, local]", "\"local\" is listed more than"},
        {"[local, lj-a]", "[local, LJ]", "\"LJ\" is not a name"},
        {"[local, lj-a]", "[local, [lj-a]]", "is not a list of names"},
        {"name: reports", "name: catalogue", "column name: the name is taken"},
        {"service: catalogue", "service: a b", "\"a b\" is not a name"},
    }));
    INFO(it.from << " -> " << it.to);
    auto const faults =
        faults_of({valid_routes, replaced(valid_pools, it.from, it.to)});
    CAPTURE(faults);
    REQUIRE(any_contains(faults, it.fault));
    bool const pool_is_missing = it.to == "name: catalogue";
    REQUIRE(faults.size() == (pool_is_missing ? 2 : 1));
}

// Guards against validation that stops at the first fault, so that an operator
// who fixes it only then learns of the next.
TEST_CASE("all faults of both tables are listed")
{
    auto const faults = faults_of(
        {replaced(replaced(valid_routes, "500ms", "5"), "POST", "POKE"),
         replaced(valid_pools, "130", "0")});
    REQUIRE(faults.size() == 3);
    REQUIRE(faults[0].find("routes, line 7, ") == 0);
    REQUIRE(faults[1].find("routes, line 10, ") == 0);
    REQUIRE(faults[2].find("pools, line 5, ") == 0);
}

TEST_CASE("an unreachable route is a fault")
{
    auto const row = [](std::string const& name, std::string const& method) {
        return "- {name: " + name + ", host: \"*\", path: /a, method: \"" +
               method +
               "\", pool: reports, deadline: 1s, idempotent: true, "
               "work: auto}\n";
    };
    auto const same =
        faults_of({row("a", "GET") + row("b", "GET"), valid_pools});
    REQUIRE(same.size() == 1);
    REQUIRE(same[0].find("routes, line 2, row b, column path: the route is "
                         "unreachable: the row at line 1") == 0);
    std::string each = row("any", "*");
    for (auto const* method :
         {"DELETE", "GET", "HEAD", "OPTIONS", "PATCH", "POST"})
    {
        each += row("row-" + std::to_string(each.size()), method);
    }
    REQUIRE(faults_of({each, valid_pools}).empty());
    auto const shadowed = faults_of({each + row("last", "PUT"), valid_pools});
    REQUIRE(shadowed.size() == 1);
    REQUIRE(
        shadowed[0].find("routes, line 1, row any, column method: the route "
                         "is unreachable: every method") == 0);
}

// Guards against accepted tables in which a route names a pool that the tables
// lack.
TEST_CASE("tables are valid only if each route refers to an existing pool")
{
    rc::prop("random routes and pools", [] {
        auto const name = rc::gen::element<std::string>("a", "b", "c");
        auto const pools = *rc::gen::container<std::vector<std::string>>(name);
        auto const used = *rc::gen::container<std::vector<std::string>>(name);
        table_texts texts{"[]\n", "[]\n"};
        for (std::size_t n = 0; n < used.size(); ++n)
        {
            texts.routes = n == 0 ? "" : texts.routes;
            texts.routes += "- {name: r" + std::to_string(n) +
                            ", host: \"*\","
                            " path: /" +
                            std::to_string(n) +
                            ", method: GET,"
                            " deadline: 1s, idempotent: true, work: auto,"
                            " pool: " +
                            used[n] + "}\n";
        }
        for (std::size_t n = 0; n < pools.size(); ++n)
        {
            texts.pools = n == 0 ? "" : texts.pools;
            texts.pools += "- {name: " + pools[n] +
                           ", service: s, slots: 1,"
                           " reserved_for_short: 0, connections: 1, queue: 0,"
                           " retry_budget: 0%, data_centres: [local]}\n";
        }
        auto const it = read_tables(texts);
        bool const distinct =
            std::set<std::string>(pools.begin(), pools.end()).size() ==
            pools.size();
        bool const known =
            std::all_of(used.begin(), used.end(), [&](auto const& pool) {
                return std::count(pools.begin(), pools.end(), pool) > 0;
            });
        RC_ASSERT(it.has_value() == (distinct && known));
    });
}
