// Tests the probes of a worker that has interrupted requests.
#include <functional>
#include <memory>
#include <vector>

#include <catch2/catch.hpp>

#include "upstream/crash_monitor.hpp"

using namespace yuccafall;
using namespace yuccafall::upstream;

namespace {

struct monitor_fixture
{
    monitor_fixture()
        : monitor(std::make_shared<crash_monitor>(
              core::incarnation(1),
              [this](std::function<void(bool)> done) {
                  probes.push_back(std::move(done));
              },
              [this](poison::notice const&) { ++notices; },
              [this](core::instant) {
                  ++times_unreachable;
                  notices_before_unreachable = notices;
              }))
    {}

    void interrupt(std::uint64_t request)
    {
        monitor->record_interrupted(poison::fingerprint(request),
                                    core::boot_clock::now());
    }

    std::vector<std::function<void(bool)>> probes;
    int notices = 0;
    int notices_before_unreachable = 0;
    int times_unreachable = 0;
    std::shared_ptr<crash_monitor> monitor;
};

} // namespace

// Guards against a crash that is reported for one of its requests only, or
// while offers to the worker are still taken.
TEST_CASE("one failed probe reports all interrupted requests")
{
    monitor_fixture it;
    it.interrupt(1);
    it.interrupt(2);
    REQUIRE(it.probes.size() == 1);
    it.probes[0](false);
    REQUIRE(it.times_unreachable == 1);
    REQUIRE(it.notices_before_unreachable == 0);
    REQUIRE(it.notices == 2);
}

// Guards against a worker that counts as crashed because it has closed one
// connection, and against a probe that ends after its node has stopped.
TEST_CASE("a probe that succeeds or ends late reports nothing")
{
    monitor_fixture it;
    it.interrupt(1);
    it.probes[0](true);
    it.interrupt(2);
    REQUIRE(it.probes.size() == 2);
    it.monitor.reset();
    it.probes[1](false);
    REQUIRE(it.times_unreachable == 0);
    REQUIRE(it.notices == 0);
}
