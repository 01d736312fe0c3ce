// Tests which requests a node takes before it ends.
#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include "ingress/drain_admission.hpp"

using namespace yuccafall;
using namespace yuccafall::ingress;
using core::milliseconds;

namespace {

core::instant at(long ms)
{
    return core::instant(std::chrono::hours(1)) + milliseconds(ms);
}

} // namespace

TEST_CASE("a request that ends before the node keeps its deadline")
{
    REQUIRE(deadline_while_draining(at(0), at(1'500), milliseconds(300),
                                    at(5'200)) == at(1'500));
    REQUIRE(deadline_while_draining(at(3'700), at(5'200), milliseconds(800),
                                    at(5'200)) == at(5'200));
}

// Pattern: a planned stop in calm with routes of 5 s and a grace of 6 s. Half
// of the grace was taken to be enough for any route, and the requests of its
// last part were cut with no response.
TEST_CASE("a request late in the grace is refused at once")
{
    REQUIRE_FALSE(deadline_while_draining(at(2'900), at(7'900),
                                          milliseconds(1'500), at(5'200)));
    REQUIRE_FALSE(deadline_while_draining(at(4'500), at(9'500),
                                          milliseconds(600), at(5'200)));
}

TEST_CASE("a request early in the grace gets the time that the node has")
{
    REQUIRE(deadline_while_draining(at(500), at(5'500), milliseconds(600),
                                    at(5'200)) == at(5'200));
}

TEST_CASE("no call outlives the node")
{
    rc::prop("any request", [](std::uint16_t now, std::uint16_t timeout,
                               std::uint16_t target, std::uint16_t end) {
        auto const it = deadline_while_draining(at(now), at(now + timeout),
                                                milliseconds(target), at(end));
        RC_ASSERT(!it || *it <= at(end));
        RC_ASSERT(!it || *it <= at(now + timeout));
        RC_ASSERT(it || timeout + now > end);
    });
}
