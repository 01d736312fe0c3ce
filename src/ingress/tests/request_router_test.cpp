// Tests which requests a node takes, and on which terms.
#include <memory>

#include <catch2/catch.hpp>

#include "ingress/request_router.hpp"

using namespace yuccafall;
using namespace yuccafall::ingress;
using core::error_kind;
using core::milliseconds;

namespace {

core::instant const arrival{std::chrono::hours(1)};
core::service_name const service("s");

traffic_view make_view()
{
    routing::route it;
    it.name = core::route_name("r");
    it.host = "h.example";
    it.prefix = "/";
    it.timeout = milliseconds(1'000);
    it.target_latency = milliseconds(200);
    it.targets = {{service, core::weight(1)}};
    auto all = std::make_shared<routing::configuration>();
    all->routes = {it};
    traffic_view out;
    out.routes = std::make_shared<routing::route_index>(all);
    out.upstreams[service].resize(1);
    return out;
}

request_summary make_request(std::optional<milliseconds> timeout = std::nullopt)
{
    request_summary it;
    it.method = "GET";
    it.target = "/";
    it.host = "h.example";
    it.timeout = timeout;
    it.arrived_at = arrival;
    return it;
}

struct router_fixture
{
    error_kind error_of(request_summary const& request)
    {
        auto const routed = router.route(request, &view, terms);
        REQUIRE_FALSE(routed);
        return routed.error().kind;
    }

    traffic_view view = make_view();
    request_router router{milliseconds(700)};
    call_terms terms;
};

} // namespace

// Guards against a call that outlasts its caller or the timeout of its route.
TEST_CASE("the deadline is that of the caller, the route or the drain")
{
    router_fixture it;
    REQUIRE(
        it.router.route(make_request(milliseconds(5'000)), &it.view, it.terms));
    REQUIRE(it.terms.deadline == arrival + milliseconds(1'000));
    REQUIRE(it.terms.upstreams == &it.view.upstreams[service]);
    REQUIRE(
        it.router.route(make_request(milliseconds(900)), &it.view, it.terms));
    REQUIRE(it.terms.deadline == arrival + milliseconds(900));
    REQUIRE(it.error_of(make_request(milliseconds(0))) == error_kind::expired);
    it.router.start_draining(arrival);
    REQUIRE(it.error_of(make_request()) == error_kind::leaving);
    // The route is known to the log line of the refusal.
    REQUIRE(it.terms.route != nullptr);
}

// Guards against a request that is offered although no worker may run it.
TEST_CASE("a request that no worker may run is refused")
{
    router_fixture it;
    SECTION("other host")
    {
        auto request = make_request();
        request.host = "o.example";
        REQUIRE(it.error_of(request) == error_kind::no_route);
        request.host.reset();
        REQUIRE(it.error_of(request) == error_kind::no_route);
    }
    SECTION("no worker")
    {
        it.view.upstreams.clear();
        REQUIRE(it.error_of(make_request()) == error_kind::no_upstream);
    }
    SECTION("poisoned")
    {
        it.view.poisoned.insert(poison::fingerprint_of("GET", "/", ""));
        REQUIRE(it.error_of(make_request()) == error_kind::poisoned);
    }
    SECTION("no view")
    {
        REQUIRE(
            it.router.route(make_request(), nullptr, it.terms).error().kind ==
            error_kind::not_ready);
    }
    SECTION("shutting down")
    {
        it.router.stop_accepting_requests();
        REQUIRE(it.error_of(make_request()) == error_kind::leaving);
    }
}
