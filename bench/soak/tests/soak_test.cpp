// A short run of the soak test. A seed that has found a violated guarantee is
// listed here with its cause.
//
// Seed 1, four nodes, 4 s: lookups of a common kind were running when two
// workers crashed. All nodes then took such lookups for requests that crash
// workers and refused them.
#include <catch2/catch.hpp>

#include "bench/soak/soak.hpp"

using namespace yuccafall;
using namespace yuccafall::bench::soak;

TEST_CASE("guarantees to callers hold while nodes, store and workers fail")
{
    soak_options options;
    options.seed = 1;
    options.nodes = 4;
    options.length = core::milliseconds(4'000);
    auto const it = run_soak(options);
    CAPTURE(it.broken);
    REQUIRE(it.broken.empty());
    REQUIRE(it.answered > 0);
    REQUIRE(it.faults > 0);
}

// Guards against planned stops that cut the requests of callers with open
// connections, and against nodes that together exceed the limit of a worker
// while they restart.
TEST_CASE("guarantees hold for kept connections, reloads and limited workers")
{
    for (std::uint64_t seed = 1; seed <= 3; ++seed)
    {
        soak_options options;
        options.seed = seed;
        options.nodes = 5;
        options.length = core::milliseconds(10'000);
        options.extended = true;
        auto const it = run_soak(options);
        CAPTURE(seed, it.broken);
        REQUIRE(it.broken.empty());
        REQUIRE(it.answered > 0);
    }
}

// Guards against a malformed response that reaches a caller, or that makes a
// node send a request again, while other parts fail as well.
TEST_CASE("guarantees hold while workers malform their responses")
{
    for (std::uint64_t seed = 1; seed <= 2; ++seed)
    {
        soak_options options;
        options.seed = seed;
        options.nodes = 5;
        options.length = core::milliseconds(8'000);
        options.extended = true;
        options.malformed_responses = true;
        auto const it = run_soak(options);
        CAPTURE(seed, it.broken);
        REQUIRE(it.broken.empty());
        REQUIRE(it.answered > 0);
    }
}
