// Tests which workers count as leaving.
#include <catch2/catch.hpp>

#include "membership/leaving_workers.hpp"

using namespace yuccafall;
using membership::leaving_workers;

// Guards against a worker that gets no calls for ever because an earlier
// process with its id has left.
TEST_CASE("a worker that starts again under its id does not leave")
{
    core::upstream_id const id("i-1");
    core::instant const now(std::chrono::hours(1));
    leaving_workers it;
    REQUIRE(it.record(id, core::worker_start(7), now));
    REQUIRE_FALSE(it.record(id, core::worker_start(7), now));
    REQUIRE(it.contains(id, core::worker_start(7), now));
    REQUIRE_FALSE(it.contains(id, core::worker_start(8), now));
    REQUIRE_FALSE(it.contains(core::upstream_id("i-2"), {}, now));
    REQUIRE_FALSE(
        it.contains(id, core::worker_start(7), now + std::chrono::hours(1)));
}
