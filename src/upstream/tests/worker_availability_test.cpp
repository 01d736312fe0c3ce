// Tests which offers are refused on arrival, and when all calls are refused.
#include <catch2/catch.hpp>

#include "upstream/worker_availability.hpp"

using namespace yuccafall;
using namespace yuccafall::upstream;
using core::error_kind;

namespace {

core::instant const start{std::chrono::hours(1)};
core::upstream_id const worker("w");

listed_worker listed(bool draining, bool evacuated)
{
    return {worker, core::worker_start(1), core::slot_count(6), draining,
            evacuated};
}

} // namespace

// Guards against an offer to an evacuated worker that is refused as leaving,
// since the other node would then go on to another worker of the data centre.
TEST_CASE("an evacuation goes before the end of a worker")
{
    worker_availability it;
    it.set_workers({listed(true, true)});
    REQUIRE(it.refusal_of_offer(worker, start)->kind == error_kind::evacuated);
    REQUIRE(it.refusal_of_all_calls(start) == error_kind::evacuated);
    it.set_workers({listed(true, false)});
    REQUIRE(it.refusal_of_offer(worker, start)->kind == error_kind::leaving);
    REQUIRE(it.refusal_of_all_calls(start) == error_kind::leaving);
    it.set_workers({listed(false, false)});
    REQUIRE_FALSE(it.refusal_of_offer(worker, start));
    REQUIRE_FALSE(it.refusal_of_all_calls(start));
}

// Guards against offers that are refused for good, or not at all, after one
// refused connection.
TEST_CASE("offers are refused for a short time after a refused connection")
{
    worker_availability it;
    it.set_workers({listed(false, false)});
    it.record_unreachable(start);
    auto const end = start + worker_availability::unreachable_backoff;
    auto const refusal =
        it.refusal_of_offer(worker, end - core::milliseconds(1));
    REQUIRE(refusal->kind == error_kind::no_upstream);
    REQUIRE(refusal->retry_after == worker_availability::unreachable_backoff);
    REQUIRE_FALSE(it.refusal_of_offer(worker, end));
    REQUIRE_FALSE(it.refusal_of_all_calls(start));
}

// Guards against a node that takes calls again during its drain, because the
// list of workers has changed.
TEST_CASE("the drain of the node does not end with a new list of workers")
{
    worker_availability it;
    REQUIRE(it.start_draining());
    REQUIRE_FALSE(it.start_draining());
    it.set_workers({listed(false, true)});
    it.set_workers({listed(false, false)});
    REQUIRE(it.draining());
    REQUIRE(it.refusal_of_all_calls(start) == error_kind::leaving);
}
