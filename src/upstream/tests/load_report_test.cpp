// Tests the load report of the local worker.
#include <catch2/catch.hpp>

#include "upstream/load_report.hpp"

using namespace yuccafall;

// Guards against a report that hides the long responses on the VM's link, so
// that other nodes send more of them to this worker.
TEST_CASE("the wait for bodies includes the backlog of the link")
{
    admission::queue_settings settings;
    settings.slots = core::slot_count(3);
    admission::slot_queue const queue(settings);
    core::instant const now(std::chrono::hours(1));
    core::milliseconds const backlog(70);
    auto const it =
        upstream::make_load_report(queue, backlog, core::percentage(4), now);
    REQUIRE(it.wait_for_bodies == backlog);
    REQUIRE(it.wait_at_back == core::milliseconds(0));
    REQUIRE(it.slots == core::slot_count(3));
    REQUIRE(it.rejection_share == core::percentage(4));
}
