// End-to-end tests of workers that are cold: node processes of the real
// program send them no more requests than their cold rate allows.
#include <atomic>
#include <thread>
#include <vector>

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include "stand_ins/deployment.hpp"

using namespace yuccafall;
using namespace yuccafall::stand_ins;

namespace {

constexpr double cold_per_s = 16;
// A cold worker may get this many requests in any second.
constexpr std::size_t cold_bound = 16 * 3 / 2 + 8;

// VM 0 has the worker that is cold after each of its starts; the callers use
// the nodes of the others.
class cold_deployment : public deployment
{
public:
    cold_deployment(core::milliseconds cold_time, double rate,
                    core::milliseconds service_time = core::milliseconds(5))
        : deployment({{"a", "shop", 6, service_time, cold_time},
                      {"a", "desk", 6, core::milliseconds(5)},
                      {"b", "desk", 6, core::milliseconds(5)}},
                     {{"/look/", "idempotent", "shop", 2'000, 500, 1, rate}})
    {
        start_nodes();
        for (std::size_t i = 0; i < size(); ++i)
        {
            REQUIRE(wait_until_ready(i));
            REQUIRE(wait_for_version(i, 2));
        }
    }

    // Sends calls through the nodes 1 and 2 at the same time, and returns how
    // many of them were served.
    int call_together(std::string const& name, int calls_of_each)
    {
        constexpr int callers = 12;
        std::atomic<int> served{0};
        std::vector<std::thread> threads;
        threads.reserve(callers);
        for (int i = 0; i < callers; ++i)
        {
            threads.emplace_back([&, i] {
                for (int n = 0; n < calls_of_each; ++n)
                {
                    auto const result = call(
                        1 + static_cast<std::size_t>(i % 2),
                        request("/look/", fmt::format("{}{}-{}", name, i, n)),
                        core::milliseconds(600));
                    served += result.status == 200 ? 1 : 0;
                }
            });
        }
        for (auto& it : threads)
        {
            it.join();
        }
        return served;
    }

    void restart_node()
    {
        node(0).kill();
        node(0).wait_for(core::milliseconds(5'000));
        start_node(0);
        REQUIRE(wait_until_ready(0));
        REQUIRE(wait_for_version(0, 2));
    }
};

// Longer than any of the tests.
constexpr core::milliseconds always{600'000};

} // namespace

// Guards against a cold worker that crashes because several nodes, or a node
// that has restarted and knows nothing of it, send it too many requests.
TEST_CASE("a cold worker behind several nodes gets no more than its cold rate")
{
    cold_deployment fleet(always, cold_per_s);
    fleet.call_together("a", 10);
    fleet.restart_node();
    fleet.call_together("b", 10);
    auto const counts = fleet.worker(0).counts();
    REQUIRE(counts.cold_arrivals > 0);
    REQUIRE(counts.most_cold_arrivals_in_a_second <= cold_bound);
    REQUIRE(fleet.log(0).find("state=cold source=health_response") !=
            std::string::npos);
}

// Guards against a worker that crashes, returns cold and gets the rate that it
// took before.
TEST_CASE("a worker that returns cold after a crash gets its cold rate")
{
    cold_deployment fleet(core::milliseconds(0), cold_per_s);
    REQUIRE(fleet.call_together("a", 10) > 0);
    REQUIRE(fleet.wait_for_log(0, "state=warm source=health_response"));
    auto const before = fleet.worker(0).counts();
    REQUIRE(before.cold_arrivals == 0);
    fleet.worker(0).crash();
    // A worker takes longer than this to return.
    std::this_thread::sleep_for(core::milliseconds(350));
    fleet.worker(0).set_cold_time(always);
    fleet.worker(0).restart();
    fleet.call_together("b", 10);
    auto const after = fleet.worker(0).counts();
    REQUIRE(after.cold_arrivals > 0);
    REQUIRE(after.most_cold_arrivals_in_a_second <= cold_bound);
    REQUIRE(fleet.wait_for_log(0, "state=cold source=health_response"));
}

// Guards against health requests that the configuration does not ask for.
TEST_CASE("a worker of a service without a cold rate is never asked")
{
    cold_deployment fleet(always, 0);
    REQUIRE(fleet.call_together("a", 3) > 0);
    fleet.restart_node();
    REQUIRE(fleet.call_together("b", 3) > 0);
    REQUIRE(fleet.worker(0).counts().health_requests == 0);
    REQUIRE(fleet.log(0).find("worker_warm_up_changed") == std::string::npos);
}

// Guards against a warm worker that stays limited after its node has restarted.
TEST_CASE("a restarted node learns with one health request of a warm worker")
{
    cold_deployment fleet(core::milliseconds(0), cold_per_s);
    fleet.restart_node();
    REQUIRE(fleet.call(1, deployment::request("/look/", "first")).status ==
            200);
    REQUIRE(fleet.wait_for_log(0, "state=warm source=health_response"));
    REQUIRE(fleet.worker(0).counts().health_requests == 1);
}

// Guards against a worker that becomes cold again without a visible reason and
// keeps its full rate although its entry in the store shows it.
TEST_CASE("an entry that becomes cold causes one health request")
{
    cold_deployment fleet(core::milliseconds(0), cold_per_s);
    REQUIRE(fleet.call(1, deployment::request("/look/", "first")).status ==
            200);
    REQUIRE(fleet.wait_for_log(0, "state=warm source=health_response"));
    fleet.publish_worker(0, "ready", core::milliseconds(900));
    REQUIRE(fleet.wait_for_log(0, "state=unknown source=entry"));
    // A further heartbeat that states a cold time is no news.
    fleet.publish_worker(0, "ready", core::milliseconds(400));
    for (int i = 0; i < 1'000 && fleet.worker(0).counts().health_requests < 2;
         ++i)
    {
        std::this_thread::sleep_for(core::milliseconds(10));
    }
    REQUIRE(fleet.call(1, deployment::request("/look/", "second")).status ==
            200);
    REQUIRE(fleet.worker(0).counts().health_requests == 2);
}

// Guards against a worker that becomes cold without an event and gets its full
// rate until its entry in the store shows it.
TEST_CASE("a worker that becomes cold without an event is asked once")
{
    // Long compared with the time that the node needs for a call, so that the
    // time of a call doubles as well.
    constexpr core::milliseconds service_time{40};
    cold_deployment fleet(core::milliseconds(0), cold_per_s, service_time);
    auto const call = [&](std::string const& id) {
        return fleet.call(1, deployment::request("/look/", id)).status;
    };
    // More calls than the node needs to know the usual service time.
    for (int i = 0; i < 40; ++i)
    {
        REQUIRE(call(fmt::format("warm-{}", i)) == 200);
    }
    auto const before = fleet.worker(0).counts().health_requests;
    fleet.worker(0).become_cold(always);
    std::string const is_cold = "state=cold source=health_response";
    // Longer than the least time between two health requests to a slow worker.
    for (int i = 0; i < 200 && fleet.log(0).find(is_cold) == std::string::npos;
         ++i)
    {
        call(fmt::format("cold-{}", i));
    }
    REQUIRE(fleet.log(0).find(is_cold) != std::string::npos);
    REQUIRE(fleet.worker(0).counts().health_requests == before + 1);
}
