// Tests when load reports are sent.
#include <catch2/catch.hpp>

#include "upstream/load_publisher.hpp"

using namespace yuccafall;
using namespace yuccafall::upstream;

// Pattern: a full worker whose waits change with each call. Guards against a
// load report for each change of a wait, with which the messages of a large
// deployment grow.
TEST_CASE("a change of the waits alone sends no load report")
{
    balancing::load_report load;
    load.running = core::slot_count(6);
    load.waiting = core::queue_length(2);
    load.slots = core::slot_count(6);
    boost::asio::io_context context;
    int sent = 0;
    auto const publisher =
        std::make_shared<load_publisher>(context, [&] { return load; });
    publisher->subscribe(
        peers::session_id(1), [&](peers::message const&) { ++sent; },
        core::upstream_id("x"), core::boot_clock::now());
    publisher->publish();
    REQUIRE(sent == 1);

    load.wait_at_back = core::milliseconds(300);
    load.waits_by_rank = {{core::rank(2), core::milliseconds(300)}};
    publisher->publish();
    REQUIRE(sent == 1);
    // No report is scheduled for later either.
    REQUIRE(context.run() == 0);
}
