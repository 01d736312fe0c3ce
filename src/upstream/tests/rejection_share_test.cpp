// Tests which runs count as calls that the worker turns away.
#include <catch2/catch.hpp>

#include "upstream/rejection_share.hpp"

using namespace yuccafall;
using namespace yuccafall::upstream;

namespace {

core::milliseconds const usual{100};

core::percentage share_after(ended_run const& run)
{
    rejection_share it;
    for (int i = 0; i < 20; ++i)
    {
        it.record(run);
    }
    return it.value();
}

} // namespace

// Guards against calls that go on to a worker that swallows requests, and
// against a worker that loses calls because callers have canceled theirs.
TEST_CASE("a run without a response counts only if it is lost or overdue")
{
    core::percentage const none(0);
    core::percentage const most(50);
    REQUIRE(share_after({run_end::rejected}) > most);
    REQUIRE(share_after({run_end::failed, true, usual, usual}) > most);
    REQUIRE(share_after({run_end::failed, false, 3 * usual, usual}) > most);
    REQUIRE(share_after({run_end::failed, false, 2 * usual, usual}) == none);
    REQUIRE(share_after({run_end::unreachable, true, 3 * usual, usual}) ==
            none);
}

// Guards against a share that stays high after the worker has recovered.
TEST_CASE("the share falls with each run that is answered")
{
    rejection_share it;
    it.record({run_end::rejected});
    REQUIRE(it.value() == core::percentage(8));
    it.record({run_end::answered});
    REQUIRE(it.value() == core::percentage(7));
}
