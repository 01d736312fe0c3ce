// Tests when a node counts as unresponsive.
#include <catch2/catch.hpp>

#include "peers/node_liveness.hpp"

using namespace yuccafall;
using peers::node_liveness;

namespace {

core::instant at(long ms)
{
    return core::instant(std::chrono::hours(1)) + core::milliseconds(ms);
}

// Checks every 50 ms, as a link does, and returns when the node first counts as
// unresponsive, or -1.
long first_unresponsive(node_liveness& it, long from, long to)
{
    for (long ms = from; ms <= to; ms += 50)
    {
        if (it.check(at(ms), at(ms)))
        {
            return ms;
        }
    }
    return -1;
}

node_liveness pinged_node()
{
    node_liveness it;
    it.record_call_opened(at(0));
    it.record_ping();
    return it;
}

} // namespace

TEST_CASE("a node is unresponsive after 350 ms without a byte until the next")
{
    auto it = pinged_node();
    REQUIRE(first_unresponsive(it, 0, 1'000) == 350);
    REQUIRE(it.unresponsive());
    REQUIRE(it.record_byte(at(1'100)));
    REQUIRE_FALSE(it.unresponsive());
}

// Guards against calling a node unresponsive that was not asked for a byte, as
// one that runs a long call.
TEST_CASE("a node without a ping is not unresponsive")
{
    node_liveness it;
    it.record_call_opened(at(0));
    REQUIRE(first_unresponsive(it, 0, 2'000) == -1);
    it.record_ping();
    it.record_byte(at(2'010));
    REQUIRE(first_unresponsive(it, 2'050, 4'000) == -1);
}

// Guards against counting the time in which a link was idle.
TEST_CASE("the silence begins with the first open call")
{
    node_liveness it;
    it.record_byte(at(0));
    it.record_call_opened(at(5'000));
    it.record_ping();
    REQUIRE(first_unresponsive(it, 5'000, 6'000) == 5'350);
}

// Guards against a silence that starts anew with each call, so that a failed
// node never counts as unresponsive if deadlines are shorter than 350 ms.
TEST_CASE("calls that end without a byte do not end the silence")
{
    auto it = pinged_node();
    it.record_call_closed();
    REQUIRE(it.ping_unanswered());
    it.record_call_opened(at(300));
    REQUIRE(first_unresponsive(it, 300, 1'000) == 350);
}

// Guards against calling all nodes unresponsive after this node has been
// delayed.
TEST_CASE("a delay of this node's event loop does not count as silence")
{
    auto it = pinged_node();
    REQUIRE_FALSE(it.check(at(200), at(900)));
    REQUIRE(first_unresponsive(it, 950, 2'000) == 1'250);
}

// Guards against an older time of one link undoing a byte of the other link.
TEST_CASE("an old byte has no effect")
{
    node_liveness it;
    it.record_call_opened(at(0));
    it.record_byte(at(10));
    it.record_ping();
    REQUIRE(first_unresponsive(it, 50, 1'000) == 400);
    REQUIRE_FALSE(it.record_byte(at(10)));
    REQUIRE(it.unresponsive());
}

// Guards against a node that stays without calls after its connection is lost,
// since no ping would be sent to it.
TEST_CASE("a node is responsive again when its connection is lost")
{
    auto it = pinged_node();
    first_unresponsive(it, 0, 1'000);
    REQUIRE(it.record_connection_lost(at(1'400)));
    REQUIRE_FALSE(it.unresponsive());
    REQUIRE_FALSE(it.ping_unanswered());
}
