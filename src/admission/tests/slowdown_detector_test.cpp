// Tests when the service times of a worker count as slower than usual.
#include <catch2/catch.hpp>

#include "admission/slowdown_detector.hpp"

using namespace yuccafall;
using namespace yuccafall::admission;
using core::milliseconds;

namespace {

core::route_name const route("look");

struct fixture
{
    slowdown_detector detector;
    core::instant now{std::chrono::hours(1)};

    // Returns how many of the responses, which arrive one after the other, make
    // the worker slow.
    int observe(int count, milliseconds service_time,
                core::route_name const& name = route,
                std::optional<worker_load> const& load = std::nullopt)
    {
        int out = 0;
        for (int i = 0; i < count; ++i)
        {
            now += service_time;
            out += detector.observe({name, service_time, load}, now) ? 1 : 0;
        }
        return out;
    }
};

worker_load load_of(unsigned running, unsigned waiting)
{
    return {core::slot_count(running), core::queue_length(waiting),
            core::slot_count(6)};
}

} // namespace

// Guards against a cold worker that gets dozens of calls before it is noticed,
// and against health requests for a few slow responses.
TEST_CASE("five responses that take twice as long make a worker slow")
{
    fixture it;
    REQUIRE(it.observe(100, milliseconds(40)) == 0);
    REQUIRE(it.observe(4, milliseconds(80)) == 0);
    REQUIRE(it.observe(1, milliseconds(80)) == 1);
}

// Guards against one call that hangs and causes a health request.
TEST_CASE("one very slow response does not make a worker slow")
{
    fixture it;
    it.observe(100, milliseconds(40));
    REQUIRE(it.observe(1, milliseconds(4'000)) == 0);
    REQUIRE(it.observe(100, milliseconds(40)) == 0);
}

// Guards against a worker that is slow for a while and becomes cold afterwards:
// if the usual time had risen meanwhile, the second slowdown would not show.
TEST_CASE("the usual service time does not rise while a worker is slow")
{
    fixture it;
    it.observe(100, milliseconds(40));
    REQUIRE(it.observe(1'000, milliseconds(80)) == 996);
    REQUIRE(it.observe(50, milliseconds(40)) <= 3);
    REQUIRE(it.observe(20, milliseconds(80)) >= 14);
}

// Guards against health requests to a worker whose service times have changed
// by less than a cold worker's.
TEST_CASE("the usual service time follows a small change")
{
    fixture it;
    it.observe(100, milliseconds(40));
    REQUIRE(it.observe(300, milliseconds(60)) == 0);
    REQUIRE(it.observe(100, milliseconds(80)) == 0);
}

// Guards against a change in the mix of routes that counts as a slowdown, and
// against a slow route that hides in the mean of a fast one.
TEST_CASE("each route is compared with its own usual service time")
{
    fixture it;
    core::route_name const other("export");
    it.observe(100, milliseconds(40));
    REQUIRE(it.observe(100, milliseconds(400), other) == 0);
    REQUIRE(it.observe(100, milliseconds(40)) == 0);
    REQUIRE(it.observe(3, milliseconds(800), other) == 0);
    REQUIRE(it.observe(2, milliseconds(80)) == 1);
}

// Guards against a comparison with a usual time that a few responses gave.
TEST_CASE("a route is compared only once its usual service time is known")
{
    fixture it;
    REQUIRE(it.observe(12, milliseconds(40)) == 0);
    REQUIRE(it.observe(8, milliseconds(80)) == 0);
}

// Guards against a health request to each worker that has more calls than
// slots.
TEST_CASE("responses under a load above the slots are ignored")
{
    fixture it;
    it.observe(100, milliseconds(40));
    REQUIRE(it.observe(100, milliseconds(80), route, load_of(6, 1)) == 0);
    REQUIRE(it.observe(8, milliseconds(80), route, load_of(6, 0)) == 4);
}

// Guards against a health request right after the cold time has ended.
TEST_CASE("runs that started before the worker was warm are ignored")
{
    fixture it;
    it.observe(100, milliseconds(40));
    it.now += milliseconds(10);
    it.detector.start(it.now);
    for (int i = 0; i < 20; ++i)
    {
        REQUIRE_FALSE(it.detector.observe({route, milliseconds(80)},
                                          it.now + milliseconds(79)));
    }
    REQUIRE(it.observe(8, milliseconds(80)) == 4);
}

// Guards against a worker that is cold again when its cold time has passed and
// gets more calls before that shows than one that becomes cold at another time.
TEST_CASE("five responses make a worker slow that has just become warm")
{
    fixture it;
    it.observe(100, milliseconds(40));
    it.detector.start(it.now);
    REQUIRE(it.observe(4, milliseconds(80)) == 0);
    REQUIRE(it.observe(1, milliseconds(80)) == 1);
}

// Guards against a usual service time that rises with each cold period until a
// cold worker no longer counts as slow.
TEST_CASE("cold periods do not change the usual service time")
{
    fixture it;
    it.observe(100, milliseconds(40));
    for (int i = 0; i < 100; ++i)
    {
        REQUIRE(it.observe(8, milliseconds(80)) == 4);
        it.detector.start(it.now);
    }
    REQUIRE(it.observe(8, milliseconds(80)) == 4);
}

// Guards against unbounded memory if the configuration names thousands of
// routes.
TEST_CASE("a route beyond the limit discards the usual service times")
{
    fixture it;
    slowdown_settings settings;
    settings.max_routes = 1;
    it.detector = slowdown_detector(settings);
    it.observe(100, milliseconds(40));
    it.observe(1, milliseconds(40), core::route_name("export"));
    REQUIRE(it.observe(100, milliseconds(80)) == 0);
}
