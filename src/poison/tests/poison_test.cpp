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

completion_notice completed(std::uint64_t request)
{
    return {fingerprint(request), suspect_list::cleared_ttl};
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
        auto const notice_of = [](std::uint8_t n) {
            return n % 11 == 0 ? notice(completed(n % 4))
                               : notice(make_notice(n % 4, n % 3, n % 5));
        };
        for (auto const n : numbers)
        {
            forward.merge(notice_of(n), at(0));
        }
        std::reverse(numbers.begin(), numbers.end());
        for (auto const n : numbers)
        {
            backward.merge(notice_of(n), at(0));
        }
        RC_ASSERT(forward.poisoned(at(1)) == backward.poisoned(at(1)));
    });
}

// Guards against refusing a common request everywhere after two crashes of
// workers whose nodes have not seen it complete (review/4).
TEST_CASE("a suspect that has completed at any worker is cleared")
{
    suspect_list it;
    it.merge(make_notice(8, 1, 1), at(0));
    it.merge(make_notice(8, 2, 1), at(1));
    REQUIRE(it.poisoned(at(2)).size() == 1);
    REQUIRE(it.merge(completed(8), at(3)));
    REQUIRE(it.poisoned(at(4)).empty());
    REQUIRE_FALSE(it.merge(completed(8), at(4)));
    // Further crashes do not count for a while.
    REQUIRE_FALSE(it.merge(make_notice(8, 3, 1), at(5)));
    REQUIRE_FALSE(it.merge(make_notice(8, 4, 1), at(6)));
    REQUIRE(it.poisoned(at(7)).empty());
    // Another request stays poisoned.
    it.merge(make_notice(7, 1, 1), at(8));
    it.merge(make_notice(7, 2, 1), at(9));
    REQUIRE(it.poisoned(at(10)) == std::set<fingerprint>{poisonous});
    // A node that connects later learns both.
    suspect_list late;
    for (auto const& n : it.notices(at(30'000)))
    {
        late.merge(n, at(30'000));
    }
    REQUIRE(late.poisoned(at(30'001)) == std::set<fingerprint>{poisonous});
    REQUIRE_FALSE(late.merge(make_notice(8, 5, 1), at(60'000)));
    // Passing the notice on has not prolonged it.
    REQUIRE(late.merge(make_notice(8, 5, 1), at(60'010)));
}

TEST_CASE("a node reports suspects that complete or have completed there")
{
    crash_detector it{core::incarnation(1)};
    REQUIRE_FALSE(it.request_completed(harmless, at(0)));
    auto const before = it.set_suspects({harmless, poisonous}, at(10'000));
    REQUIRE(before.size() == 1);
    REQUIRE(before.front().request == harmless);
    REQUIRE(before.front().remaining == core::milliseconds(50'000));
    REQUIRE(it.set_suspects({harmless, poisonous}, at(10'001)).empty());
    auto const after = it.request_completed(poisonous, at(11'000));
    REQUIRE(after);
    REQUIRE(after->request == poisonous);
    // It is reported once.
    REQUIRE_FALSE(it.request_completed(poisonous, at(11'001)));
    // A completion long ago clears nothing.
    REQUIRE(it.set_suspects({}, at(12'000)).empty());
    REQUIRE(it.set_suspects({poisonous}, at(71'001)).empty());
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
    auto const crash =
        std::get<crash_notice>(*decode(encode(make_notice(~0ULL, 5, 6))));
    REQUIRE(crash.request == fingerprint(~0ULL));
    REQUIRE(crash.crash.node == core::incarnation(5));
    REQUIRE(crash.crash.number == 6);
    auto const completion =
        std::get<completion_notice>(*decode(encode(completed(~0ULL))));
    REQUIRE(completion.request == fingerprint(~0ULL));
    REQUIRE(completion.remaining == completed(0).remaining);
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
