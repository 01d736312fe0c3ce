// Tests of the model, and of the rules of load on the pattern that each of
// them answers.
#include <catch2/catch.hpp>

#include "bench/model/experiment.hpp"

using namespace yuccafall;
using namespace yuccafall::bench::model;

namespace {

deployment make(std::string_view name)
{
    for (auto const& it : all_patterns())
    {
        if (it.name == name)
        {
            return it.make();
        }
    }
    FAIL("no pattern " << name);
    return {};
}

// The lower end of the gain's interval.
double least_gain(std::string_view pattern, std::string_view rule,
                  std::size_t seeds)
{
    auto const it =
        compare(make(pattern), policy_without(rule).value(), 1, seeds);
    INFO(pattern << " without " << rule << ": " << it.with << " and "
                 << it.without);
    return it.gain - it.half_interval;
}

} // namespace

TEST_CASE("a seed gives the same day each time")
{
    auto const what = make("calm");
    auto const a = play_day(what, {}, 3);
    auto const b = play_day(what, {}, 3);
    REQUIRE(a.total().earned == b.total().earned);
    REQUIRE(a.nested == b.nested);
    REQUIRE(a.total().asked != play_day(what, {}, 4).total().asked);
}

TEST_CASE("each request of a caller ends once")
{
    for (auto const* name : {"calm", "burst"})
    {
        auto const all = play_day(make(name), {}, 1).total();
        REQUIRE(all.asked > 1'000);
        REQUIRE(all.in_aim + all.late + all.refused + all.failed == all.asked);
        REQUIRE(all.earned <= all.owed);
    }
}

TEST_CASE("a calm day is served")
{
    auto const it = play_day(make("calm"), {}, 1);
    REQUIRE(it.total().served_worth() > 0.95);
    REQUIRE(it.nested_failed * 100 < it.nested);
}

// Pattern "uploads over narrow links": the bodies of reports fill the links of
// its workers, and the calls that bookings make there come late.
TEST_CASE("pacing bodies serves narrow links better")
{
    REQUIRE(least_gain("narrow-links", "paced-bodies", 2) > 0);
}

// Pattern "burst": reports of loads are old when the demand rises.
TEST_CASE("leaving a full worker at once serves a burst better")
{
    REQUIRE(least_gain("burst", "free-slots", 12) > 0);
}

// Pattern "crest": callers hold slots while their calls wait elsewhere.
TEST_CASE("calls of running requests first serves the crest better")
{
    REQUIRE(least_gain("crest", "nested-first", 16) > 0);
}

TEST_CASE("an unknown rule is refused")
{
    REQUIRE(policy_without(""));
    REQUIRE_FALSE(policy_without("magic"));
}
