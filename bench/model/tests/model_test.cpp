// Tests of the model, and of the effect of each rule on the pattern for which
// the rule was made.
#include <numeric>

#include <catch2/catch.hpp>

#include "bench/model/experiment.hpp"

using namespace yuccafall;
using namespace yuccafall::bench::model;

namespace {

deployment make_deployment(std::string_view name)
{
    for (auto const& it : all_patterns())
    {
        if (it.name == name)
        {
            return it.make();
        }
    }
    FAIL("there is no pattern named " << name);
    return {};
}

// Returns the lower end of the 95 % confidence interval of the gain in worth.
double gain_lower_bound(std::string_view pattern, std::string_view rule,
                        std::size_t seeds)
{
    auto const it = compare(make_deployment(pattern),
                            policy_without(rule).value(), 1, seeds);
    INFO(pattern << " without " << rule << ": " << it.worth << " and "
                 << it.worth_without);
    return it.gain - it.half_interval;
}

} // namespace

TEST_CASE("a seed gives the same result in each run")
{
    auto const spec = make_deployment("calm");
    auto const first = run_simulation(spec, {}, 3);
    auto const second = run_simulation(spec, {}, 3);
    REQUIRE(first.total().earned_worth == second.total().earned_worth);
    REQUIRE(first.nested == second.nested);
    REQUIRE(first.total().asked != run_simulation(spec, {}, 4).total().asked);
}

TEST_CASE("each request of a caller is counted with one result")
{
    for (auto const* name : {"calm", "burst"})
    {
        auto const all = run_simulation(make_deployment(name), {}, 1).total();
        REQUIRE(all.asked > 1'000);
        REQUIRE(all.in_aim + all.late + all.refused + all.failed == all.asked);
        REQUIRE(all.earned_worth <= all.possible_worth);
    }
}

TEST_CASE("the calm pattern earns nearly all of its worth")
{
    auto const it = run_simulation(make_deployment("calm"), {}, 1);
    REQUIRE(it.total().worth_ratio() > 0.95);
    REQUIRE(it.nested_failed * 100 < it.nested);
}

// Without the rule, the bodies of report uploads fill the links of the report
// workers, and the nested calls that bookings make there arrive late.
TEST_CASE("pacing bodies gains worth on narrow links")
{
    REQUIRE(gain_lower_bound("narrow-links", "paced-bodies", 2) > 0);
}

// Without the rule, the responses of exports fill the links of their workers,
// and the short responses to calls of running requests arrive too late.
TEST_CASE("pacing long responses gains worth with downloads on narrow links")
{
    REQUIRE(gain_lower_bound("narrow-downloads", "paced-responses", 2) > 0);
}

// Load reports are out of date while the demand rises, so that calls are
// offered to workers that are full already. With 12 seeds the confidence
// interval is as wide as the gain.
TEST_CASE("trying another worker instead of waiting gains worth in a burst")
{
    REQUIRE(gain_lower_bound("burst", "free-slots", 24) > 0);
}

// Requests that run hold their slots while their nested calls wait at other
// workers.
TEST_CASE("putting nested calls first gains worth at the crest")
{
    REQUIRE(gain_lower_bound("crest", "nested-first", 16) > 0);
}

// All nodes choose the fastest of the workers that their outdated load reports
// show as free. It refuses most of the calls while other workers are idle.
TEST_CASE("spreading the load leaves fewer calls beside free workers")
{
    auto const it = compare(make_deployment("uneven-workers"),
                            policy_without("even-load").value(), 1, 2);
    auto const& with = it.measures;
    auto const& without = it.measures_without;
    REQUIRE(with.refusals_beside_free_worker.mean +
                with.waits_beside_free_worker.mean <
            without.refusals_beside_free_worker.mean +
                without.waits_beside_free_worker.mean);
    for (std::size_t i = 0; i < window_lengths.size(); ++i)
    {
        REQUIRE(with.busiest_open_calls[i].mean <
                without.busiest_open_calls[i].mean);
    }
    REQUIRE(it.gain + it.half_interval >= 0);
}

TEST_CASE("a resized pattern keeps the demand for each worker")
{
    auto const spec = make_deployment("uneven-workers");
    for (std::size_t const workers : {14, 60, 300, 1'000})
    {
        auto const resized = resize(spec, workers);
        std::size_t n = 0;
        for (auto const& service : resized.services)
        {
            n += std::accumulate(service.workers.begin(), service.workers.end(),
                                 std::size_t{0});
        }
        REQUIRE(n >= workers - 1);
        REQUIRE(n <= workers + 1);
        REQUIRE(resized.requests_per_second / static_cast<double>(workers) ==
                Approx(spec.requests_per_second / 59));
    }
}

// Guards against ratios that count a worker without calls as absent.
TEST_CASE("the busiest worker is compared with the mean of all workers")
{
    core::instant const start{std::chrono::hours(1)};
    load_history busy(start);
    load_history const idle(start);
    busy.record_open_calls(3, start + core::milliseconds(100));
    busy.record_open_calls(0, start + core::milliseconds(300));
    busy.record_arrival(start + core::milliseconds(300));
    REQUIRE(busy.windows().at(0).open_call_seconds == Approx(0.3));
    REQUIRE(busy.windows().at(1).open_call_seconds == Approx(0.3));
    load_ratio_means means;
    means.add({&busy, &idle, &idle, &idle}, 5);
    REQUIRE(means.result().of_open_calls[0] == Approx(4));
    REQUIRE(means.result().of_arrivals[1] == Approx(4));
}

TEST_CASE("an unknown rule is rejected")
{
    REQUIRE(policy_without(""));
    REQUIRE_FALSE(policy_without("magic"));
}
