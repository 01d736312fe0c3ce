// Tests the decision after an attempt that brought no answer, and the estimate
// of the time that a caller has waited.
#include <catch2/catch.hpp>

#include "ingress/caller_patience.hpp"
#include "ingress/next_step.hpp"

using namespace yuccafall;
using namespace yuccafall::ingress;
using core::error_kind;
using core::milliseconds;
using routing::repeatability;

namespace {

call_progress make_progress(repeatability kind)
{
    call_progress it;
    it.kind = kind;
    it.most_attempts = core::attempt_count(2);
    it.remaining = milliseconds(1'000);
    it.usual = milliseconds(200);
    return it;
}

bool repeats(call_progress const& call, attempt_end const& how)
{
    return std::holds_alternative<try_another>(decide(call, how));
}

} // namespace

// Guards against a non-idempotent call, such as a booking, that runs twice
// because it is retried after it may have run.
TEST_CASE("a call that may have run is repeated only where it may be")
{
    attempt_failed const failed{error_kind::upstream_failed, "reset"};
    path_lost const lost{true, "reset"};
    for (auto const kind :
         {repeatability::non_idempotent, repeatability::upload})
    {
        REQUIRE_FALSE(repeats(make_progress(kind), failed));
        REQUIRE_FALSE(repeats(make_progress(kind), lost));
    }
    auto idempotent = make_progress(repeatability::idempotent);
    idempotent.workers_reached = 1;
    REQUIRE(repeats(idempotent, failed));
    REQUIRE(repeats(idempotent, lost));
    idempotent.workers_reached = 2;
    REQUIRE_FALSE(repeats(idempotent, failed));
}

// Guards against calls that queue at a full worker while another one has a free
// slot. Many nodes choose the same worker when its load report is stale. The
// worker refuses such a call and stays a candidate if no other worker is free.
TEST_CASE("a refusal for want of a free slot uses up no redirect")
{
    auto call = make_progress(repeatability::upload);
    call.redirects = most_redirects;
    attempt_refused full{error_kind::overloaded, milliseconds(50), false, true};
    auto const step = decide(call, full);
    REQUIRE(std::get<try_another>(step).may_return);
    REQUIRE_FALSE(std::get<try_another>(step).counts);
    // A worker that is draining does not become a candidate again.
    full.kind = error_kind::leaving;
    REQUIRE_FALSE(repeats(call, full));
    // A worker that rejected the call itself does not become a candidate again.
    full.kind = error_kind::overloaded;
    full.reached_worker = true;
    REQUIRE_FALSE(std::get<try_another>(decide(call, full)).may_return);
}

TEST_CASE("a call that did not run goes elsewhere whatever its kind")
{
    auto call = make_progress(repeatability::upload);
    attempt_refused const full{error_kind::overloaded, milliseconds(50), false};
    path_lost const unsent{false, "connect"};
    REQUIRE(repeats(call, full));
    REQUIRE(repeats(call, unsent));
    call.redirects = most_redirects;
    REQUIRE_FALSE(repeats(call, full));
}

// Guards against a worker that rejects every call and so causes unlimited
// retries across the fleet: each of these retries must use the retry budget.
TEST_CASE("a call that a worker turned away counts against the budget")
{
    auto call = make_progress(repeatability::non_idempotent);
    call.workers_reached = 1;
    attempt_refused const rejected{error_kind::upstream_rejected,
                                   milliseconds(0), true};
    auto const step = decide(call, rejected);
    REQUIRE(std::get<try_another>(step).counts);
    call.workers_reached = 2;
    REQUIRE_FALSE(repeats(call, rejected));
}

TEST_CASE("nothing is tried that could not end in time")
{
    auto call = make_progress(repeatability::idempotent);
    call.remaining = milliseconds(80);
    attempt_refused const full{error_kind::overloaded, milliseconds(50), false};
    auto const step = decide(call, full);
    REQUIRE(std::get<give_up>(step).kind == error_kind::overloaded);
    REQUIRE(std::get<give_up>(step).retry_after == milliseconds(50));
}

TEST_CASE("a repeated attempt shows by the patience that is left")
{
    caller_patience it;
    core::route_name const route("r");
    REQUIRE(it.waited_before(route, milliseconds(2'500)) == milliseconds(0));
    REQUIRE(it.waited_before(route, milliseconds(2'495)) == milliseconds(0));
    REQUIRE(it.waited_before(route, milliseconds(1'700)) == milliseconds(800));
    REQUIRE(it.waited_before(core::route_name("other"), milliseconds(400)) ==
            milliseconds(0));
}
