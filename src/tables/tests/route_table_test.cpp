// Tests how requests are matched with routes.
#include <algorithm>
#include <string>
#include <vector>

#include <catch2/catch.hpp>
#include <fmt/format.h>
#include <rapidcheck/catch.h>

#include "tables/request_target.hpp"
#include "tables/route_table.hpp"

using namespace yuccafall;
using namespace yuccafall::tables;

namespace {

route make_route(std::string const& name, std::string const& host,
                 std::string const& path, std::string const& method)
{
    route it;
    it.name = core::route_name(name);
    it.host = host;
    it.path = path;
    it.method = method;
    it.pool = core::pool_name("p");
    return it;
}

pool make_pool()
{
    pool it;
    it.name = core::pool_name("p");
    return it;
}

std::string winner_name(route_table const& table,
                        request_attributes const& request)
{
    auto const it = table.find_route(request);
    return it ? (*it)->name.value()
              : std::string(core::error_kind_info_for(it.error().kind).name);
}

bool is_prefix(std::string const& prefix, std::string const& path)
{
    return prefix == "/" || path == prefix ||
           path.compare(0, prefix.size() + 1, prefix + "/") == 0;
}

// Applies the matching rule as the design page states it, without an index.
route const* reference_winner(std::vector<route> const& routes,
                              std::string const& host, std::string const& path,
                              std::string const& method)
{
    route const* best = nullptr;
    auto const rank = [](route const& it) {
        return std::make_tuple(it.host != "*", it.path.size(),
                               it.method != "*");
    };
    for (auto const& it : routes)
    {
        bool const matches = (it.host == "*" || it.host == host) &&
                             (it.method == "*" || it.method == method) &&
                             is_prefix(it.path, path);
        if (matches && (best == nullptr || rank(*best) < rank(it)))
        {
            best = &it;
        }
    }
    return best;
}

} // namespace

TEST_CASE("the most specific route wins")
{
    route_table const table(
        {{make_route("any", "*", "/", "*"), make_route("any-a", "*", "/a", "*"),
          make_route("any-a-get", "*", "/a", "GET"),
          make_route("any-a-b", "*", "/a/b", "*"),
          make_route("shop", "shop.example", "/a", "POST")},
         {make_pool()}});
    REQUIRE(winner_name(table, {"x", "/", "GET"}) == "any");
    REQUIRE(winner_name(table, {"x", "/a", "GET"}) == "any-a-get");
    REQUIRE(winner_name(table, {"x", "/a", "PUT"}) == "any-a");
    REQUIRE(winner_name(table, {"x", "/a/c", "GET"}) == "any-a-get");
    REQUIRE(winner_name(table, {"x", "/a/b", "GET"}) == "any-a-b");
    REQUIRE(winner_name(table, {"x", "/a/bc", "PUT"}) == "any-a");
    REQUIRE(winner_name(table, {"x", "/ab", "GET"}) == "any");
    REQUIRE(winner_name(table, {"SHOP.Example.:8080", "/a/b", "POST"}) ==
            "shop");
    REQUIRE(winner_name(table, {"shop.example", "/a/b", "GET"}) == "any-a-b");
    REQUIRE(winner_name(table, {"shop.example", "/b", "POST"}) == "any");
    REQUIRE(winner_name(table, {"", "/a", "PUT"}) == "any-a");
    REQUIRE(winner_name(table, {"[::1]:80", "/a", "PUT"}) == "any-a");
    REQUIRE(winner_name(table, {"x", "/a", "BREW"}) == "no_route");
    REQUIRE(winner_name(table, {"x", "/a", "get"}) == "no_route");
    REQUIRE(winner_name(table, {"x", "a", "GET"}) == "bad_request");
    REQUIRE(&table.pool_of(table.rows().routes[0]) == &table.rows().pools[0]);
}

// Guards against a path that two nodes, or a node and the worker, interpret
// differently. A booking could then match a route whose requests may be sent
// twice.
TEST_CASE("a path has exactly one interpretation")
{
    for (auto const* path :
         {"/a/b", "/a/b/", "/a/b?c=//../%zz#", "/%61/b", "/a/%62/?/c"})
    {
        INFO(path);
        REQUIRE(canonical_path(path).value() == "/a/b");
    }
    REQUIRE(canonical_path("/?x").value() == "/");
    REQUIRE(canonical_path("/%252e").value() == "/%2e");
    REQUIRE(canonical_path("/..a/.b").value() == "/..a/.b");
    for (auto const* path :
         {"",       "a",     "*",         "http://a/b", "?",      "//",
          "//a",    "/a//b", "/a//",      "/..",        "/../a",  "/a/..",
          "/a/./b", "/.",    "/%2e%2E/a", "/a/.%2e",    "/a%2fb", "/a%5Cb",
          "/a\\b",  "/a%00", "/a%0a",     "/a\x7f",     "/a#b",   "/a%",
          "/a%2",   "/a%2g", "/%ZZ"})
    {
        INFO(path);
        REQUIRE_FALSE(canonical_path(path));
    }
    rc::prop("canonicalization is idempotent", [](std::string const& path) {
        auto const once = canonical_path("/" + path);
        if (once && once->find_first_of("%?") == std::string::npos)
        {
            RC_ASSERT(canonical_path(*once).value() == *once);
        }
    });
}

// Guards against an index that does not follow the matching rule and against a
// winner that depends on the order of the rows.
TEST_CASE("the index follows the matching rule for any order of rows")
{
    rc::prop("random routes", [] {
        auto const path = rc::gen::element<std::string>(
            "/", "/a", "/a/b", "/a/b/c", "/ab", "/b", "/b/a");
        auto const host = rc::gen::element<std::string>("*", "x", "y");
        auto const method =
            rc::gen::element<std::string>("*", "GET", "POST", "PUT");
        auto const keys = *rc::gen::unique<
            std::vector<std::tuple<std::string, std::string, std::string>>>(
            rc::gen::tuple(host, path, method));
        std::vector<route> routes;
        routes.reserve(keys.size());
        for (auto const& [h, p, m] : keys)
        {
            routes.push_back(
                make_route(fmt::format("{}{}{}", h, p, m), h, p, m));
        }
        auto shuffled = routes;
        std::reverse(shuffled.begin(), shuffled.end());
        auto const size = static_cast<std::ptrdiff_t>(routes.size());
        auto const split = *rc::gen::inRange<std::ptrdiff_t>(0, size + 1);
        std::rotate(shuffled.begin(), shuffled.begin() + split, shuffled.end());
        route_table const table({routes, {make_pool()}});
        route_table const other({shuffled, {make_pool()}});
        auto const h = *rc::gen::element<std::string>("x", "y", "z");
        auto const p = *path + *rc::gen::element<std::string>("", "/a", "/d/e");
        auto const m = *rc::gen::element<std::string>("GET", "POST", "HEAD");
        auto const target = p[0] == '/' && p[1] == '/' ? p.substr(1) : p;
        auto const* expected = reference_winner(routes, h, target, m);
        auto const name =
            expected == nullptr ? "no_route" : expected->name.value();
        RC_ASSERT(winner_name(table, {h, target, m}) == name);
        RC_ASSERT(winner_name(other, {h, target, m}) == name);
        auto const explained = *table.explain_route({h, target, m});
        RC_ASSERT((explained.winner != nullptr) == (expected != nullptr));
        RC_ASSERT(std::count_if(explained.candidates.begin(),
                                explained.candidates.end(),
                                [](route_candidate const& it) {
                                    return it.outcome == match_outcome::won;
                                }) == (expected == nullptr ? 0 : 1));
    });
}

TEST_CASE("an explanation lists each candidate with its outcome")
{
    route_table const table(
        {{make_route("any", "*", "/", "*"), make_route("put", "*", "/a", "PUT"),
          make_route("get", "x", "/a", "GET"), make_route("x", "x", "/a", "*"),
          make_route("short", "x", "/", "GET")},
         {make_pool()}});
    auto const it = *table.explain_route({"x", "/a/b", "GET"});
    std::string text;
    for (auto const& candidate : it.candidates)
    {
        text += candidate.row->name.value() + ": " +
                std::string(to_string(candidate.outcome)) + "; ";
    }
    REQUIRE(text == "get: won; x: method less specific; short: path less "
                    "specific; put: other method; any: host less specific; ");
    REQUIRE(it.reason == "route get matches host x, path /a and method GET; "
                         "less specific matches: 3");
    REQUIRE(table.explain_route({"x", "/a", "BREW"})->reason ==
            "routes match host and path, but none matches the method");
}
