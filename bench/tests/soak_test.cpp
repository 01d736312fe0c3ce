// A short run of the soak. Each seed that ever broke a promise is added here
// with a line on its cause.
//
// Seed 1, four nodes, 4 s: a common lookup was running when two workers
// crashed, and was refused everywhere as one that crashes workers.
#include <catch2/catch.hpp>

#include "bench/soak/soak.hpp"

using namespace yuccafall;
using namespace yuccafall::bench::soak;

TEST_CASE("promises hold while processes, store and workers fail")
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
