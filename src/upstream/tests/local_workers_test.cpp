// Tests what the node beside a worker believes of the workers at its address.
#include <catch2/catch.hpp>

#include "upstream/local_workers.hpp"

using namespace yuccafall;
using upstream::listed_worker;
using upstream::local_workers;

namespace {

listed_worker listed(char const* id, bool draining, bool evacuated)
{
    return {core::upstream_id(id), core::worker_start(1), core::slot_count(6),
            draining, evacuated};
}

} // namespace

// Guards against an offer that runs in an evacuated data centre because a
// release has replaced the worker that the offer names.
TEST_CASE("all workers at an address are evacuated together")
{
    local_workers it;
    core::upstream_id const unlisted("old");
    REQUIRE_FALSE(it.all_evacuated());
    REQUIRE_FALSE(it.is_evacuated(unlisted));
    it.set({listed("a", true, true), listed("b", false, true)});
    REQUIRE(it.all_evacuated());
    REQUIRE(it.is_evacuated(core::upstream_id("a")));
    REQUIRE(it.is_evacuated(core::upstream_id("b")));
    REQUIRE(it.is_evacuated(unlisted));
    it.set({listed("a", true, false), listed("b", false, false)});
    REQUIRE_FALSE(it.all_evacuated());
    REQUIRE_FALSE(it.is_evacuated(core::upstream_id("b")));
    REQUIRE_FALSE(it.is_evacuated(unlisted));
}

// Guards against an evacuated worker that other nodes eject as leaving, or that
// still counts as leaving when the evacuation ends.
TEST_CASE("an evacuated worker does not leave")
{
    core::instant const now(std::chrono::hours(1));
    local_workers it;
    it.set({listed("a", false, true)});
    REQUIRE_FALSE(it.all_leave(now));
    REQUIRE_FALSE(it.leaves(core::upstream_id("a"), now));
    REQUIRE_FALSE(it.has_stated_leaving(core::upstream_id("a"), now));
}
