// Tests the parts that spread calls while load reports are outdated.
#include <map>

#include <catch2/catch.hpp>

#include "balancing/expected_load.hpp"
#include "balancing/free_worker_draw.hpp"

using namespace yuccafall;
using namespace yuccafall::balancing;
using core::milliseconds;

namespace {

core::instant at(long ms)
{
    return core::instant(std::chrono::hours(1)) + milliseconds(ms);
}

// Returns how many of 1,000 calls each worker gets.
std::map<std::size_t, int> count_draws(std::vector<free_worker> const& workers,
                                       double min_free_slots)
{
    core::random_source random{7};
    std::map<std::size_t, int> out;
    for (int i = 0; i < 1'000; ++i)
    {
        ++out[draw_free_worker(workers, min_free_slots, random)];
    }
    return out;
}

} // namespace

// Pattern: uneven-workers. Guards against a worker that counts as full, or as
// idle, long after the calls of its last report have ended.
TEST_CASE("an old report moves to the mean of the worker's reports")
{
    expected_load it;
    for (int i = 0; i < 200; ++i)
    {
        it.record_report(i % 2 == 0 ? 6 : 2, at(i));
    }
    it.record_report(6, at(200));
    REQUIRE(it.open_calls(milliseconds(100), at(200)) == Approx(6));
    REQUIRE(it.open_calls(milliseconds(100), at(300)) < 5);
    REQUIRE(it.open_calls(milliseconds(100), at(2'000)) ==
            Approx(4).margin(0.2));
}

// A report may arrive before its node's clock reading is used, and a route may
// take less than a millisecond.
TEST_CASE("a report without age and a run time of zero are allowed")
{
    expected_load it;
    REQUIRE(it.open_calls(milliseconds(0), at(0)) == 0);
    it.record_report(6, at(5));
    REQUIRE(it.open_calls(milliseconds(0), at(0)) == Approx(6));
}

// Pattern: uneven-workers. All nodes chose the worker that seemed fastest.
TEST_CASE("free workers of many nodes get calls by their free slots")
{
    auto const counts =
        count_draws({{0, 1, milliseconds(50)},
                     {1, 3, milliseconds(50)},
                     {2, 0, milliseconds(50)}},
                    expected_calls_before_report(core::node_count(60)));
    REQUIRE(counts.at(0) + counts.at(1) >= 990);
    REQUIRE(counts.at(1) > 2 * counts.at(0));
    REQUIRE(counts.at(1) < 4 * counts.at(0));
}

// Pattern: calm. Slower workers must not get calls that the fast ones can take.
TEST_CASE("few nodes choose the fastest free worker")
{
    std::vector<free_worker> const workers{{0, 6, milliseconds(100)},
                                           {1, 4, milliseconds(50)},
                                           {2, 6, milliseconds(110)}};
    auto const few = expected_calls_before_report(core::node_count(14));
    REQUIRE(count_draws(workers, few).at(1) == 1'000);
    // The fastest worker is too small for the calls of many nodes.
    auto const many = expected_calls_before_report(core::node_count(120));
    REQUIRE(count_draws(workers, many).size() == 2);
}

// Pattern: slow-workers. With many nodes, even a very slow worker would be
// needed to reach the number of free slots.
TEST_CASE("a worker that is many times slower takes no part")
{
    auto const counts =
        count_draws({{0, 2, milliseconds(50)}, {1, 6, milliseconds(300)}},
                    expected_calls_before_report(core::node_count(1'000)));
    REQUIRE(counts.at(0) == 1'000);
}
