// Tests of requests that crash their workers.
#include <algorithm>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include "poison/codec.hpp"
#include "poison/crash_watch.hpp"

using namespace yuccafall;
using namespace yuccafall::poison;

namespace {

core::instant at(long ms)
{
    return core::instant(std::chrono::hours(1)) + core::milliseconds(ms);
}

notice make_notice(std::uint64_t request, std::uint64_t node,
                   std::uint64_t number)
{
    return {fingerprint(request), {core::incarnation(node), number}};
}

fingerprint const bad(7);
fingerprint const innocent(8);

} // namespace

// Pattern "one request crashes each worker that runs it".
TEST_CASE("a request that was there at two crashes is poisoned")
{
    suspect_list it;
    REQUIRE(it.merge(make_notice(7, 1, 1), at(0)));
    REQUIRE(it.merge(make_notice(8, 1, 1), at(0)));
    REQUIRE(it.poisoned(at(1)).empty());
    REQUIRE(it.merge(make_notice(7, 2, 1), at(3'000)));
    REQUIRE(it.poisoned(at(3'001)) == std::set<fingerprint>{bad});
    REQUIRE(it.next_wake(at(3'001)));
    REQUIRE(it.poisoned(at(64'000)).empty());
}

// Guards against one crash that counts twice, since several nodes tell of it.
TEST_CASE("a crash counts once however often it is told")
{
    suspect_list it;
    REQUIRE(it.merge(make_notice(7, 1, 1), at(0)));
    REQUIRE_FALSE(it.merge(make_notice(7, 1, 1), at(10)));
    REQUIRE(it.poisoned(at(20)).empty());
}

// Guards against a node that connects after the flood and never hears of it.
TEST_CASE("a list that takes all notices of another agrees with it")
{
    suspect_list told;
    told.merge(make_notice(7, 1, 1), at(0));
    told.merge(make_notice(7, 2, 1), at(1));
    suspect_list late;
    for (auto const& it : told.notices(at(2)))
    {
        late.merge(it, at(2));
    }
    REQUIRE(late.poisoned(at(3)) == told.poisoned(at(3)));
    REQUIRE(late.poisoned(at(3)).size() == 1);
}

TEST_CASE("the order of notices does not matter")
{
    rc::prop("orders", [](std::vector<std::uint8_t> order) {
        suspect_list forward;
        suspect_list backward;
        for (auto const n : order)
        {
            forward.merge(make_notice(n % 4, n % 3, n % 5), at(0));
        }
        std::reverse(order.begin(), order.end());
        for (auto const n : order)
        {
            backward.merge(make_notice(n % 4, n % 3, n % 5), at(0));
        }
        RC_ASSERT(forward.poisoned(at(1)) == backward.poisoned(at(1)));
    });
}

// Pattern "lost answers": a worker that takes connections has not crashed.
TEST_CASE("lost answers of a worker that lives blame nobody")
{
    crash_watch it{core::incarnation(1)};
    REQUIRE(it.run_lost(bad, at(0)));
    REQUIRE_FALSE(it.run_lost(innocent, at(1)));
    it.reached();
    REQUIRE(it.unreachable(at(50)).empty());
}

TEST_CASE("runs that break off with the worker share one crash")
{
    crash_watch it{core::incarnation(1)};
    it.run_lost(fingerprint(9), at(0));
    it.run_lost(bad, at(900));
    it.run_lost(innocent, at(901));
    auto const notices = it.unreachable(at(910));
    REQUIRE(notices.size() == 2);
    REQUIRE(notices.front().crash.number == notices.back().crash.number);
    REQUIRE(it.run_lost(bad, at(5'000)));
    REQUIRE(it.unreachable(at(5'001)).front().crash.number == 2);
}

// Pattern "two workers crash while many callers ask for the same" (soak seed 1
// with four nodes: a common lookup was refused everywhere for a minute).
TEST_CASE("a request that has ended well lately is not blamed for a crash")
{
    crash_watch it{core::incarnation(1)};
    it.run_completed(innocent, at(0));
    it.run_lost(innocent, at(900));
    it.run_lost(bad, at(901));
    auto const notices = it.unreachable(at(910));
    REQUIRE(notices.size() == 1);
    REQUIRE(notices.front().request == bad);
    // What ended well a minute ago clears nothing any more.
    it.run_lost(innocent, at(61'000));
    REQUIRE(it.unreachable(at(61'001)).size() == 1);
    // Nor does what has been pushed out by many others.
    it.run_completed(innocent, at(62'000));
    for (std::uint64_t n = 0; n < crash_watch::most_completed; ++n)
    {
        it.run_completed(fingerprint(1'000 + n), at(62'000));
    }
    it.run_lost(innocent, at(62'100));
    REQUIRE(it.unreachable(at(62'101)).size() == 1);
}

TEST_CASE("a notice survives its frame and other bytes are refused")
{
    auto const bytes = encode(make_notice(~0ULL, 5, 6));
    REQUIRE(decode(bytes)->request == fingerprint(~0ULL));
    rc::prop("bytes", [](std::string const& any) {
        auto const it = decode(any);
        RC_ASSERT(it || it.error().kind == core::error_kind::bad_frame);
    });
}

TEST_CASE("a fingerprint tells bodies, targets and methods apart")
{
    auto const it = fingerprint_of("POST", "/a", "x");
    REQUIRE(it == fingerprint_of("POST", "/a", "x"));
    REQUIRE(it != fingerprint_of("POST", "/a", "y"));
    REQUIRE(it != fingerprint_of("POST", "/b", "x"));
    REQUIRE(it != fingerprint_of("GET", "/a", "x"));
}
