// Tests the differences between two decoded configurations.
#include <catch2/catch.hpp>

#include "precheck/compare_configurations.hpp"

using namespace yuccafall;
using namespace yuccafall::precheck;

namespace {

routing::route make_route(std::string const& name, std::string const& prefix)
{
    routing::route it;
    it.name = core::route_name(name);
    it.host = "h";
    it.prefix = prefix;
    it.timeout = core::milliseconds(1'000);
    it.targets = {{core::service_name("s"), core::weight(1)},
                  {core::service_name("t"), core::weight(2)}};
    return it;
}

routing::configuration make_configuration(std::uint64_t version)
{
    routing::configuration it;
    it.version = core::configuration_version(version);
    it.routes = {make_route("a", "/a/"), make_route("b", "/b/")};
    it.services[core::service_name("s")] = {};
    it.services[core::service_name("t")] = {};
    return it;
}

std::vector<std::string> texts_of(routing::configuration const& before,
                                  routing::configuration const& after)
{
    std::vector<std::string> out;
    for (auto const& it : compare_configurations(before, after))
    {
        out.push_back(to_text(it));
    }
    return out;
}

using texts = std::vector<std::string>;

} // namespace

// Guards against differences that have no effect, and against a configuration
// that is sent although nodes ignore its version.
TEST_CASE("order is no difference, and a version that is not higher is one")
{
    auto const before = make_configuration(7);
    auto after = make_configuration(8);
    std::swap(after.routes[0], after.routes[1]);
    std::swap(after.routes[0].targets[0], after.routes[0].targets[1]);
    REQUIRE(texts_of(before, after).empty());
    REQUIRE(texts_of(before, before) ==
            texts{"version 7 is not higher than 7, which is in force; nodes "
                  "ignore it"});
}

// Guards against a change that the operator does not see before sending it.
TEST_CASE("routes and services that differ are listed in a fixed order")
{
    auto const before = make_configuration(7);
    auto after = make_configuration(8);
    after.routes = {make_route("c", "/c/"), make_route("a2", "/a/")};
    after.routes[1].timeout = core::milliseconds(900);
    after.services.erase(core::service_name("t"));
    after.services[core::service_name("u")] = {};
    REQUIRE(texts_of(before, after) ==
            texts{"route \"a2\" changed: name a -> a2, timeout 1000ms -> 900ms",
                  "route \"b\" removed", "route \"c\" added",
                  "service \"t\" removed", "service \"u\" added"});
}

// Guards against a changed cold rate or limit that the operator does not see.
TEST_CASE("changed fields of services and limits are listed")
{
    auto const before = make_configuration(7);
    auto after = make_configuration(8);
    after.services[core::service_name("s")] = {
        "/health", core::warm_up_limits{core::millihertz(16'500),
                                        core::milliseconds(3'000)}};
    after.limits.max_body_bytes = core::byte_count(5);
    REQUIRE(texts_of(before, after) ==
            texts{"service \"s\" changed: health path none -> /health, cold "
                  "rate none -> 16.5/s for 3000ms",
                  "limits changed: body size 67108864B -> 5B"});
}
