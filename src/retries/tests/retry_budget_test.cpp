// Tests the retry budget against the platform's limit, which counts the retries
// of all nodes in any time window.
#include <algorithm>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include "retries/retry_budget.hpp"

using namespace yuccafall;
using namespace yuccafall::retries;

namespace {

core::instant at(long ms)
{
    return core::instant(std::chrono::hours(1)) + core::milliseconds(ms);
}

core::service_name const service("s");

} // namespace

// Guards against a retry storm when all calls fail: the retries of the whole
// fleet in any window of ten seconds must not exceed the allowed share of the
// requests plus the fixed number.
TEST_CASE("a fleet that retries all it can stays within the platform's limit")
{
    rc::prop("rates", [](std::uint8_t node_seed, std::uint16_t rate_seed) {
        std::size_t const nodes = 1 + node_seed % 20;
        long const per_second = 1 + rate_seed % 100;
        std::vector<retry_budget> fleet(nodes, retry_budget({}));
        for (auto& it : fleet)
        {
            it.set_nodes(core::node_count(nodes));
        }
        constexpr long seconds = 30;
        std::vector<long> retries(seconds, 0);
        for (long ms = 0; ms < seconds * 1000; ms += 1000 / per_second)
        {
            for (auto& it : fleet)
            {
                it.record_request(service, at(ms));
                while (it.try_take(service, at(ms)))
                {
                    ++retries[static_cast<std::size_t>(ms / 1000)];
                }
            }
        }
        auto const each = 10'000 / (1000 / per_second);
        auto const requests =
            static_cast<double>(nodes) * static_cast<double>(each);
        for (std::size_t s = 0; s + 10 <= retries.size(); ++s)
        {
            long in_window = 0;
            for (std::size_t i = s; i < s + 10; ++i)
            {
                in_window += retries[i];
            }
            // Each node may always make at least one retry. Below 20 nodes,
            // these retries fit into the fixed number.
            RC_ASSERT(static_cast<double>(in_window) <=
                      0.2 * requests + 64 + static_cast<double>(nodes));
        }
    });
}

TEST_CASE("a service with few requests still gets a retry")
{
    retry_budget it({});
    it.set_nodes(core::node_count(5'500));
    REQUIRE(it.try_take(service, at(0)));
    REQUIRE_FALSE(it.try_take(service, at(1)));
}
