// Tests which statements about the worker's rate replace the one in use.
#include <catch2/catch.hpp>

#include "upstream/rate_statements.hpp"

using namespace yuccafall;
using namespace yuccafall::upstream;

namespace {

core::upstream_id const worker("w");
core::stated_rate const unknown = core::rate_unknown{};
core::stated_rate const unlimited = core::rate_unlimited{};
core::stated_rate const limited = core::rate_limited{core::millihertz(5'000)};

} // namespace

// Guards against a limit that ends although the worker has not ended it.
TEST_CASE("only the response to a call that has run ends a limit")
{
    rate_statements it;
    REQUIRE(it.accept(worker, limited, rate_source::rejection, unknown));
    REQUIRE_FALSE(
        it.accept(worker, unlimited, rate_source::rejection, limited));
    REQUIRE_FALSE(it.accept(worker, unlimited, rate_source::offer, limited));
    REQUIRE_FALSE(it.accept(worker, unknown, rate_source::response, limited));
    REQUIRE(it.accept(worker, unlimited, rate_source::response, limited));
}

// Guards against an outdated limit that another node repeats, and against a new
// worker that runs without the limit that other nodes know.
TEST_CASE("an offer states the rate only of a worker that has not stated it")
{
    rate_statements it;
    REQUIRE(it.accept(worker, limited, rate_source::offer, unknown));
    REQUIRE(it.accept(worker, unlimited, rate_source::response, limited));
    REQUIRE_FALSE(it.accept(worker, limited, rate_source::offer, unlimited));
    REQUIRE(it.accept(core::upstream_id("new"), limited, rate_source::offer,
                      unlimited));
}
