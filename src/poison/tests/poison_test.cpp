// Tests of the detection of requests that crash their workers.
#include <algorithm>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include "poison/codec.hpp"
#include "poison/crash_detector.hpp"

using namespace yuccafall;
using namespace yuccafall::poison;

namespace {

core::instant at(long ms)
{
    return core::instant(std::chrono::hours(1)) + core::milliseconds(ms);
}

crash_notice make_notice(std::uint64_t request, std::uint64_t node,
                         std::uint64_t number)
{
    return {fingerprint(request), {core::incarnation(node), number}};
}

fingerprint const poisonous(7);
fingerprint const harmless(8);

} // namespace

// Guards against one request that crashes each worker that runs it.
TEST_CASE("a request that was running at two crashes is poisoned")
{
    suspect_list it;
    REQUIRE(it.merge(make_notice(7, 1, 1), at(0)));
    REQUIRE(it.merge(make_notice(8, 1, 1), at(0)));
    REQUIRE(it.poisoned(at(1)).empty());
    REQUIRE(it.merge(make_notice(7, 2, 1), at(3'000)));
    REQUIRE(it.poisoned(at(3'001)) == std::set<fingerprint>{poisonous});
    REQUIRE(it.next_timer(at(3'001)));
    REQUIRE(it.poisoned(at(64'000)).empty());
}

// Guards against counting one crash twice. The same notice arrives from several
// nodes because every node forwards it.
TEST_CASE("a crash counts once however often it is reported")
{
    suspect_list it;
    REQUIRE(it.merge(make_notice(7, 1, 1), at(0)));
    REQUIRE_FALSE(it.merge(make_notice(7, 1, 1), at(10)));
    REQUIRE(it.poisoned(at(20)).empty());
}

// Guards against a node that does not refuse poisoned requests because it
// connected after their notices had been forwarded.
TEST_CASE("a list that merges all notices of another one equals it")
{
    suspect_list complete;
    complete.merge(make_notice(7, 1, 1), at(0));
    complete.merge(make_notice(7, 2, 1), at(1));
    suspect_list late;
    for (auto const& it : complete.notices(at(2)))
    {
        late.merge(it, at(2));
    }
    REQUIRE(late.poisoned(at(3)) == complete.poisoned(at(3)));
    REQUIRE(late.poisoned(at(3)).size() == 1);
}

TEST_CASE("the list does not depend on the order of the notices")
{
    rc::prop("orders", [](std::vector<std::uint8_t> numbers) {
        suspect_list forward;
        suspect_list backward;
        for (auto const n : numbers)
        {
            forward.merge(make_notice(n % 4, n % 3, n % 5), at(0));
        }
        std::reverse(numbers.begin(), numbers.end());
        for (auto const n : numbers)
        {
            backward.merge(make_notice(n % 4, n % 3, n % 5), at(0));
        }
        RC_ASSERT(forward.poisoned(at(1)) == backward.poisoned(at(1)));
    });
}

// Guards against suspecting requests whose responses were lost. A worker that
// still accepts connections has not crashed.
TEST_CASE("responses lost by a live worker make no request a suspect")
{
    crash_detector it{core::incarnation(1)};
    REQUIRE(it.request_interrupted(poisonous, at(0)));
    REQUIRE_FALSE(it.request_interrupted(harmless, at(1)));
    it.probe_succeeded();
    REQUIRE(it.probe_failed(at(50)).empty());
}

TEST_CASE("requests that are interrupted together share one crash")
{
    crash_detector it{core::incarnation(1)};
    it.request_interrupted(fingerprint(9), at(0));
    it.request_interrupted(poisonous, at(900));
    it.request_interrupted(harmless, at(901));
    auto const notices = it.probe_failed(at(910));
    REQUIRE(notices.size() == 2);
    REQUIRE(notices.front().crash.number == notices.back().crash.number);
    REQUIRE(it.request_interrupted(poisonous, at(5'000)));
    REQUIRE(it.probe_failed(at(5'001)).front().crash.number == 2);
}

// Guards against refusing a harmless request that many callers send and that
// was therefore running when two workers crashed (soak seed 1 with four nodes:
// all nodes refused a common lookup for a minute).
TEST_CASE("a request that completed recently is not a suspect")
{
    crash_detector it{core::incarnation(1)};
    it.request_completed(harmless, at(0));
    it.request_interrupted(harmless, at(900));
    it.request_interrupted(poisonous, at(901));
    auto const notices = it.probe_failed(at(910));
    REQUIRE(notices.size() == 1);
    REQUIRE(notices.front().request == poisonous);
    // A request that completed a minute ago no longer exempts others with the
    // same fingerprint.
    it.request_interrupted(harmless, at(61'000));
    REQUIRE(it.probe_failed(at(61'001)).size() == 1);
    // Neither does a request whose record was discarded because many other
    // requests completed.
    it.request_completed(harmless, at(62'000));
    for (std::uint64_t n = 0; n < crash_detector::max_completed_requests; ++n)
    {
        it.request_completed(fingerprint(1'000 + n), at(62'000));
    }
    it.request_interrupted(harmless, at(62'100));
    REQUIRE(it.probe_failed(at(62'101)).size() == 1);
}

TEST_CASE("a notice can be encoded and decoded, and other bytes are refused")
{
    auto const bytes = encode(make_notice(~0ULL, 5, 6));
    REQUIRE(decode(bytes)->request == fingerprint(~0ULL));
    rc::prop("bytes", [](std::string const& any) {
        auto const it = decode(any);
        RC_ASSERT(it || it.error().kind == core::error_kind::bad_frame);
    });
}

TEST_CASE("fingerprints of different bodies, targets and methods differ")
{
    auto const it = fingerprint_of("POST", "/a", "x");
    REQUIRE(it == fingerprint_of("POST", "/a", "x"));
    REQUIRE(it != fingerprint_of("POST", "/a", "y"));
    REQUIRE(it != fingerprint_of("POST", "/b", "x"));
    REQUIRE(it != fingerprint_of("GET", "/a", "x"));
}
