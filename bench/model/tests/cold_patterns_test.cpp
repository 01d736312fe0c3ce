// Tests of the patterns with cold workers, and of the rules that they were made
// for.
#include <catch2/catch.hpp>

#include "bench/model/experiment.hpp"

using namespace yuccafall;
using namespace yuccafall::bench::model;

namespace {

// Fewer than the patterns have, which keeps the tests short.
constexpr std::size_t workers = 20;

} // namespace

// Guards against a service that stays down after a power cut: without the cold
// rate, workers that return cold get their full rate, crash and return cold.
TEST_CASE("the cold rate ends the crashes after a power cut")
{
    auto const it = compare(resize(make_cold_workers(), workers),
                            policy_without("cold-rate").value(), 1, 2);
    REQUIRE(it.warm_up.cold_crashes.mean == 0);
    REQUIRE(it.warm_up_without.cold_crashes.mean > 0);
    REQUIRE(it.warm_up.recovery_s.mean < it.warm_up_without.recovery_s.mean);
    REQUIRE(it.gain - it.half_interval > 0);
}

// Guards against workers that crash because they were warm before their data
// centre was evacuated.
TEST_CASE("the cold rate prevents crashes after an evacuation")
{
    // With two seeds, the confidence interval is wider than the gain.
    auto const it = compare(resize(make_evacuation(), workers),
                            policy_without("cold-rate").value(), 1, 8);
    REQUIRE(it.warm_up.cold_crashes.mean == 0);
    REQUIRE(it.warm_up_without.cold_crashes.mean > 0);
    REQUIRE(it.gain - it.half_interval > 0);
}

// Guards against a rule that is on the list and changes nothing: a worker in
// the model is slow at times without being cold, and is then asked.
TEST_CASE("without the rule slow workers are not asked")
{
    auto const spec = resize(make_evacuation(), workers);
    auto const with = run_simulation(spec, {}, 1);
    auto const without =
        run_simulation(spec, policy_without("slowdown").value(), 1);
    REQUIRE(with.health_requests > without.health_requests);
    REQUIRE(without.cold_crashes == 0);
}

// Guards against workers that become cold again during their cold time and get
// their full rate for seconds, because their nodes have asked them before.
TEST_CASE("a request after each cold time ends crashes in second cold periods")
{
    auto const it = compare(resize(make_second_cold_periods(), workers),
                            policy_without("second-cold-period").value(), 1, 4);
    REQUIRE(it.warm_up.cold_crashes.mean +
                it.warm_up.cold_crashes.half_interval <
            it.warm_up_without.cold_crashes.mean -
                it.warm_up_without.cold_crashes.half_interval);
    REQUIRE(it.gain - it.half_interval > 0);
}

// Guards against workers of an evacuated data centre that still get requests,
// and against a data centre that stays empty afterwards.
TEST_CASE("an evacuated data centre costs no second of the served worth")
{
    auto const it = run_simulation(resize(make_evacuation(), workers), {}, 1);
    REQUIRE(it.recovery_s == 0);
    REQUIRE(it.total().worth_ratio() > 0.95);
}
