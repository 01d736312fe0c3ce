// Tests the findings about a decoded configuration.
#include <catch2/catch.hpp>

#include "precheck/check_configuration.hpp"

using namespace yuccafall;
using namespace yuccafall::precheck;

namespace {

routing::configuration valid_configuration()
{
    routing::route route;
    route.name = core::route_name("r");
    route.host = "h";
    route.prefix = "/a/";
    route.timeout = core::milliseconds(1'000);
    route.target_latency = core::milliseconds(300);
    route.attempts = core::attempt_count(3);
    route.targets = {{core::service_name("s"), core::weight(1)}};
    routing::configuration it;
    it.routes = {route};
    it.services[core::service_name("s")] = {};
    return it;
}

std::vector<std::string> texts_of(routing::configuration const& configuration)
{
    std::vector<std::string> out;
    for (auto const& it : check_configuration(configuration))
    {
        out.push_back(to_text(it));
    }
    return out;
}

using texts = std::vector<std::string>;

} // namespace

// Guards against a rule that refuses what the limits just allow.
TEST_CASE("a configuration at its limits has no findings")
{
    auto it = valid_configuration();
    REQUIRE(texts_of(it).empty());
    it.routes[0].timeout = it.routes[0].target_latency;
    it.routes[0].attempts = core::attempt_count(1);
    REQUIRE(texts_of(it).empty());
}

// Guards against routes whose callers can never get what the route promises.
TEST_CASE("contradicting limits of a route are found")
{
    auto it = valid_configuration();
    it.routes[0].attempts = core::attempt_count(4);
    REQUIRE(texts_of(it) ==
            texts{"route \"r\": 4 attempts are permitted, but the timeout "
                  "allows 3 at the target latency"});
    it.routes[0].timeout = core::milliseconds(299);
    REQUIRE(texts_of(it) ==
            texts{"route \"r\": the timeout of 299 ms is below the target "
                  "latency of 300 ms"});
    it.routes[0].target_latency = core::milliseconds(0);
    REQUIRE(texts_of(it) == texts{"route \"r\": the target latency is 0"});
}

// Guards against entries without effect that look as if they had one.
TEST_CASE("entries without effect are found in a fixed order")
{
    auto it = valid_configuration();
    it.services[core::service_name("b")] = {};
    it.services[core::service_name("a")] = {};
    it.unused_targets = {{core::route_name("r"), core::service_name("a")}};
    it.unknown_kinds = {{core::route_name("r"), "stream"}};
    REQUIRE(texts_of(it) ==
            texts{"route \"r\": the target \"a\" has weight 0 and gets no "
                  "requests",
                  "route \"r\": the kind \"stream\" is not known and is "
                  "treated as non-idempotent",
                  "service \"a\": no route has it as a target",
                  "service \"b\": no route has it as a target"});
}

// Guards against limits with which a node refuses every request.
TEST_CASE("limits of 0 for callers are found")
{
    auto it = valid_configuration();
    it.limits = {core::byte_count(0), core::byte_count(0),
                 core::milliseconds(0), core::milliseconds(0)};
    REQUIRE(texts_of(it) == texts{"limits: the maximum header size is 0",
                                  "limits: the maximum body size is 0",
                                  "limits: the header timeout is 0",
                                  "limits: the idle timeout is 0"});
}
