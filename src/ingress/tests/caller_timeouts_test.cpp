// Tests what is concluded from the timeouts that callers state.
#include <catch2/catch.hpp>

#include "ingress/caller_timeouts.hpp"

using namespace yuccafall;
using namespace yuccafall::ingress;
using core::milliseconds;

namespace {

core::route_name const lookup("lookup");
core::route_name const order("order");
core::route_name const check("check");
constexpr milliseconds fallback{700};

} // namespace

TEST_CASE("a caller that states less time than before sends again")
{
    caller_timeouts it;
    REQUIRE(it.time_since_first_request(lookup, milliseconds(3'000)) ==
            milliseconds(0));
    REQUIRE(it.time_since_first_request(lookup, milliseconds(2'990)) ==
            milliseconds(0));
    REQUIRE(it.time_since_first_request(lookup, milliseconds(2'000)) ==
            milliseconds(1'000));
}

// Pattern: workers' calls with a limit of 800 ms among clients that wait for 3
// s or 4 s (further-grown). They counted as clients' requests and waited behind
// them, while their parents held slots.
TEST_CASE("calls with a far shorter timeout than others are nested")
{
    caller_timeouts it;
    it.time_since_first_request(lookup, milliseconds(3'000));
    it.time_since_first_request(order, milliseconds(4'000));
    it.time_since_first_request(check, milliseconds(800));
    REQUIRE(it.is_nested(check, fallback));
    REQUIRE_FALSE(it.is_nested(lookup, fallback));
    REQUIRE_FALSE(it.is_nested(order, fallback));
}

// Guards against clients with short limits of their own that count as workers:
// an order of 1 s among requests of 1.2 s and 1.5 s (further).
TEST_CASE("clients whose timeouts differ little are not nested")
{
    caller_timeouts it;
    it.time_since_first_request(lookup, milliseconds(1'500));
    it.time_since_first_request(order, milliseconds(1'000));
    it.time_since_first_request(check, milliseconds(250));
    REQUIRE_FALSE(it.is_nested(order, fallback));
    REQUIRE(it.is_nested(check, fallback));
}

TEST_CASE("without another route the timeout itself decides")
{
    caller_timeouts it;
    REQUIRE_FALSE(it.is_nested(check, fallback));
    it.time_since_first_request(check, milliseconds(400));
    REQUIRE(it.is_nested(check, fallback));
    it.time_since_first_request(lookup, milliseconds(3'000));
    REQUIRE_FALSE(it.is_nested(lookup, fallback));
}

// Pattern: clients with limits of 1 s and 1.2 s, and single requests of 3 s by
// which the operator checks routes (nile-provident-grown). After the first of
// them, all clients' requests counted as nested, went ahead of the calls of
// running requests and waited in the queues until their deadlines.
TEST_CASE("a route with few requests does not make those of others nested")
{
    core::route_name const probe("probe");
    caller_timeouts it;
    for (int i = 0; i < 500; ++i)
    {
        it.time_since_first_request(lookup, milliseconds(1'000));
        it.time_since_first_request(order, milliseconds(1'200));
        it.time_since_first_request(check, milliseconds(250));
        if (i % 100 == 10)
        {
            it.time_since_first_request(probe, milliseconds(3'000));
        }
        if (i > 0)
        {
            REQUIRE_FALSE(it.is_nested(lookup, fallback));
            REQUIRE_FALSE(it.is_nested(order, fallback));
            REQUIRE(it.is_nested(check, fallback));
        }
    }
}

// Guards against a limit that stays in use after the callers of the route have
// changed to a shorter one: their requests would count as sent long ago.
TEST_CASE("the longest timeout of a route follows its callers")
{
    caller_timeouts it;
    it.time_since_first_request(lookup, milliseconds(3'000));
    for (int i = 0; i < 200; ++i)
    {
        it.time_since_first_request(lookup, milliseconds(1'000));
    }
    REQUIRE(it.time_since_first_request(lookup, milliseconds(1'000)) ==
            milliseconds(0));
    REQUIRE(it.time_since_first_request(lookup, milliseconds(400)) ==
            milliseconds(600));
}
