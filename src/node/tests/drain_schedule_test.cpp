// Tests the steps of a drain.
#include <algorithm>

#include <catch2/catch.hpp>

#include "node/drain_schedule.hpp"

using namespace yuccafall;
using namespace yuccafall::node;
using core::milliseconds;

namespace {

core::instant at(long ms)
{
    return core::instant(std::chrono::hours(1)) + milliseconds(ms);
}

template <class Action>
bool has(std::vector<drain_action> const& all)
{
    return std::any_of(all.begin(), all.end(), [](auto const& it) {
        return std::holds_alternative<Action>(it);
    });
}

traffic_state make_state(std::size_t open, std::size_t running, long last)
{
    return {open, running, at(last)};
}

} // namespace

TEST_CASE("a drain in calm refuses requests one step before the process ends")
{
    drain_schedule it({}, at(0));
    REQUIRE(it.handle(make_state(0, 0, -500), at(100)).empty());
    REQUIRE(has<drain_worker>(it.handle(make_state(0, 0, 1'700), at(1'800))));
    REQUIRE(it.handle(make_state(0, 0, 2'500), at(2'800)).empty());
    auto const quiet = it.handle(make_state(0, 0, 2'500), at(3'200));
    REQUIRE(has<refuse_requests>(quiet));
    REQUIRE_FALSE(has<end_process>(quiet));
    REQUIRE(has<end_process>(it.handle(make_state(0, 0, 2'500), at(3'300))));
}

// Guards against a request that arrives between the last look at the state and
// the end, and is cut.
TEST_CASE("a request that arrives before requests are refused is waited for")
{
    drain_schedule it({}, at(0));
    REQUIRE(has<refuse_requests>(it.handle(make_state(0, 0, 0), at(3'000))));
    REQUIRE(it.handle(make_state(1, 0, 3'010), at(3'100)).empty());
    REQUIRE(it.handle(make_state(0, 1, 3'010), at(3'200)).empty());
    REQUIRE(has<end_process>(it.handle(make_state(0, 0, 3'010), at(3'300))));
}

// Guards against calls that are cut without a response at the end of the time
// that the platform allows.
TEST_CASE("calls end before the process must end")
{
    drain_settings settings;
    settings.max_time = milliseconds(6'000);
    drain_schedule it(settings, at(0));
    REQUIRE(it.calls_end_at() < at(5'500));
    auto const last = it.handle(make_state(3, 1, 5'100), it.calls_end_at());
    REQUIRE(has<refuse_requests>(last));
    REQUIRE_FALSE(has<end_process>(last));
    REQUIRE(has<end_process>(it.handle(make_state(3, 1, 5'100), at(5'500))));
}

TEST_CASE("a drain with next to no time ends calls at once")
{
    drain_settings settings;
    settings.max_time = milliseconds(200);
    drain_schedule it(settings, at(0));
    REQUIRE(it.calls_end_at() == at(0));
    REQUIRE(has<end_process>(it.handle(make_state(1, 1, 0), at(0))));
}
