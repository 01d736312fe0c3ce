// Tests of route lookup and of traffic splits.
#include <catch2/catch.hpp>

#include "routing/route_index.hpp"
#include "routing/weighted_split.hpp"

using namespace yuccafall;
using namespace yuccafall::routing;

namespace {

route make_route(char const* name, char const* host, char const* prefix)
{
    route it;
    it.name = core::route_name(name);
    it.host = host;
    it.prefix = prefix;
    it.targets = {{core::service_name("s"), core::weight(1)}};
    return it;
}

std::string route_for(route_index const& it, char const* host,
                      char const* target)
{
    auto const* r = it.find(host, target);
    return r == nullptr ? "" : r->name.value();
}

} // namespace

TEST_CASE("the route with the longest matching prefix is selected")
{
    auto all = std::make_shared<configuration>();
    all->routes = {make_route("root", "h.example", "/"),
                   make_route("a", "h.example", "/a/"),
                   make_route("ab", "h.example", "/a/b/"),
                   make_route("other", "o.example", "/a/b/c/")};
    route_index const it(all);
    REQUIRE(route_for(it, "h.example", "/a/b/c/d") == "ab");
    REQUIRE(route_for(it, "H.Example:8080", "/a/x?q=/a/b/") == "a");
    REQUIRE(route_for(it, "h.example", "/a") == "root");
    REQUIRE(route_for(it, "h.example", "/ab/") == "root");
    REQUIRE(route_for(it, "o.example", "/a/b/").empty());
    REQUIRE(route_for(it, "none.example", "/a/b/").empty());
    REQUIRE(route_for(it, "h.example", "*").empty());
}

// Guards against a split that keeps its weights only on average, so that the
// share of a target is wrong over a small number of requests.
TEST_CASE("each target of a split gets its share after any number of requests")
{
    auto it = make_route("r", "h", "/");
    it.targets = {{core::service_name("x"), core::weight(90)},
                  {core::service_name("y"), core::weight(10)}};
    weighted_split split;
    std::map<core::service_name, int> requests;
    for (int i = 1; i <= 1'000; ++i)
    {
        ++requests[split.next(it)];
        REQUIRE(requests[core::service_name("x")] >= i * 9 / 10 - 1);
        REQUIRE(requests[core::service_name("x")] <= i * 9 / 10 + 1);
    }
}
