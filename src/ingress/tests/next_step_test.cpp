// Tests the decision after an attempt that brought no response, and the
// estimate of the time since a caller first sent its request.
#include <catch2/catch.hpp>

#include "ingress/caller_timeouts.hpp"
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
    it.repeatability = kind;
    it.max_attempts = core::attempt_count(2);
    it.remaining = milliseconds(1'000);
    it.expected_duration = milliseconds(200);
    return it;
}

bool gets_another_attempt(call_progress const& call, attempt_result const& how)
{
    return std::holds_alternative<try_another>(decide_next_step(call, how));
}

} // namespace

// Guards against a non-idempotent call, such as a booking, that runs twice
// because it is retried after it may have run.
TEST_CASE("a call that may have run is retried only if it is idempotent")
{
    attempt_failed const failed{error_kind::upstream_failed, "reset"};
    connection_lost const lost{true, "reset"};
    for (auto const kind :
         {repeatability::non_idempotent, repeatability::upload})
    {
        REQUIRE_FALSE(gets_another_attempt(make_progress(kind), failed));
        REQUIRE_FALSE(gets_another_attempt(make_progress(kind), lost));
    }
    auto idempotent = make_progress(repeatability::idempotent);
    idempotent.workers_reached = 1;
    REQUIRE(gets_another_attempt(idempotent, failed));
    REQUIRE(gets_another_attempt(idempotent, lost));
    idempotent.workers_reached = 2;
    REQUIRE_FALSE(gets_another_attempt(idempotent, failed));
}

// Guards against a call that is refused although a worker elsewhere could run
// it: a node that has not seen an evacuation yet offers the call to workers of
// the evacuated data centre first.
TEST_CASE("a refusal as evacuated moves the call to another data centre")
{
    auto call = make_progress(repeatability::non_idempotent);
    call.redirects = max_redirects;
    for (bool const required_free_slot : {false, true})
    {
        attempt_refused const evacuated{error_kind::evacuated, milliseconds(0),
                                        false, required_free_slot};
        auto const step =
            std::get<try_another>(decide_next_step(call, evacuated));
        REQUIRE(step.avoid_data_centre);
        REQUIRE_FALSE(step.uses_retry_budget);
        REQUIRE_FALSE(step.may_reselect_upstream);
    }
    call.remaining = milliseconds(50);
    REQUIRE_FALSE(gets_another_attempt(
        call, attempt_refused{error_kind::evacuated, {}, false, false}));
}

// Guards against calls that queue at a full worker while another one has a free
// slot. Many nodes choose the same worker when its load report is stale. The
// worker refuses such a call and stays a candidate if no other worker is free.
TEST_CASE("a refusal for lack of a free slot does not count as a redirect")
{
    auto call = make_progress(repeatability::upload);
    call.redirects = max_redirects;
    attempt_refused full{error_kind::overloaded, milliseconds(50), false, true};
    auto const step = decide_next_step(call, full);
    REQUIRE(std::get<try_another>(step).may_reselect_upstream);
    REQUIRE_FALSE(std::get<try_another>(step).uses_retry_budget);
    // A worker that is draining does not become a candidate again.
    full.kind = error_kind::leaving;
    REQUIRE_FALSE(gets_another_attempt(call, full));
    // A worker that rejected the call itself does not become a candidate again.
    full.kind = error_kind::overloaded;
    full.reached_worker = true;
    REQUIRE_FALSE(std::get<try_another>(decide_next_step(call, full))
                      .may_reselect_upstream);
}

TEST_CASE("a call that did not run goes to another upstream whatever its kind")
{
    auto call = make_progress(repeatability::upload);
    attempt_refused const full{error_kind::overloaded, milliseconds(50), false};
    connection_lost const unsent{false, "connect"};
    REQUIRE(gets_another_attempt(call, full));
    REQUIRE(gets_another_attempt(call, unsent));
    call.redirects = max_redirects;
    REQUIRE_FALSE(gets_another_attempt(call, full));
}

// Guards against a worker that rejects every call and so causes unlimited
// retries across the fleet: each of these retries must use the retry budget.
TEST_CASE("a call that a worker rejected counts against the retry budget")
{
    auto call = make_progress(repeatability::non_idempotent);
    call.workers_reached = 1;
    attempt_refused const rejected{error_kind::upstream_rejected,
                                   milliseconds(0), true};
    auto const step = decide_next_step(call, rejected);
    REQUIRE(std::get<try_another>(step).uses_retry_budget);
    call.workers_reached = 2;
    REQUIRE_FALSE(gets_another_attempt(call, rejected));
}

TEST_CASE("a call is not tried again if it could not finish in time")
{
    auto call = make_progress(repeatability::idempotent);
    call.remaining = milliseconds(80);
    attempt_refused const full{error_kind::overloaded, milliseconds(50), false};
    auto const step = decide_next_step(call, full);
    REQUIRE(std::get<give_up>(step).kind == error_kind::overloaded);
    REQUIRE(std::get<give_up>(step).retry_after == milliseconds(50));
}

TEST_CASE("a retry is recognized by the shorter timeout that it states")
{
    caller_timeouts it;
    core::route_name const route("r");
    REQUIRE(it.time_since_first_request(route, milliseconds(2'500)) ==
            milliseconds(0));
    REQUIRE(it.time_since_first_request(route, milliseconds(2'495)) ==
            milliseconds(0));
    REQUIRE(it.time_since_first_request(route, milliseconds(1'700)) ==
            milliseconds(800));
    REQUIRE(it.time_since_first_request(core::route_name("other"),
                                        milliseconds(400)) == milliseconds(0));
}

// Guards against a booking that runs twice because its node was only slow, and
// against an attempt that is given up although no other one may follow.
TEST_CASE("an attempt at an unresponsive node is given up only for another one")
{
    auto const gives_up = [](call_progress const& it, bool may_have_run) {
        return std::holds_alternative<try_another>(
            decide_on_unresponsive_node(it, may_have_run));
    };
    auto it = make_progress(repeatability::idempotent);
    REQUIRE(gives_up(it, true));
    it.workers_reached = 1;
    REQUIRE_FALSE(gives_up(it, true));
    REQUIRE(gives_up(it, false));
    it.redirects = max_redirects;
    REQUIRE_FALSE(gives_up(it, false));
    it = make_progress(repeatability::idempotent);
    it.remaining = it.expected_duration / 2;
    REQUIRE_FALSE(gives_up(it, true));
    for (auto const kind :
         {repeatability::non_idempotent, repeatability::upload})
    {
        REQUIRE_FALSE(gives_up(make_progress(kind), true));
        REQUIRE(gives_up(make_progress(kind), false));
    }
}
