// Tests the replies about calls that have ended.
#include <memory>
#include <vector>

#include <catch2/catch.hpp>

#include "upstream/call_reporter.hpp"

using namespace yuccafall;
using namespace yuccafall::upstream;
using core::error_kind;

namespace {

struct reporter_fixture
{
    reporter_fixture()
    {
        call.offer.call = {core::incarnation(1), 3};
        call.offer.upstream = core::upstream_id("w");
        call.reply = [this](peers::message it) {
            replies.push_back(std::move(it));
        };
    }

    admission::slot_queue queue{admission::queue_settings()};
    worker_availability availability;
    std::shared_ptr<counters> counts = std::make_shared<counters>();
    call_reporter reporter{queue, availability,
                           [] {
                               balancing::load_report it;
                               it.slots = core::slot_count(6);
                               return it;
                           },
                           counts};
    call_entry call;
    std::vector<peers::message> replies;
};

} // namespace

// Guards against a node that goes on to offer calls to a worker that leaves,
// and against a refused call that counts as one that has reached the worker.
TEST_CASE("a refusal states its kind, the load and that the worker leaves")
{
    reporter_fixture it;
    it.availability.record_leaving(it.call.offer.upstream,
                                   core::boot_clock::now());
    it.reporter.refuse(it.call, {error_kind::evacuated, core::milliseconds(9)});
    REQUIRE(it.replies.size() == 1);
    auto const& reply = std::get<peers::refused>(it.replies[0]);
    REQUIRE(reply.call == it.call.offer.call);
    REQUIRE(reply.kind == error_kind::evacuated);
    REQUIRE(reply.retry_after == core::milliseconds(9));
    REQUIRE_FALSE(reply.reached_worker);
    REQUIRE(reply.worker_leaves);
    REQUIRE(reply.load.slots == core::slot_count(6));
    REQUIRE(it.counts->refused == 1);
    REQUIRE(it.counts->evacuated == 1);
}

// Guards against a call that is sent again after its time has passed.
TEST_CASE("a failure states whether the time of the call has passed")
{
    reporter_fixture it;
    it.reporter.report_failure(
        it.call, {http::failure_cause::timed_out, "late", std::nullopt});
    it.reporter.report_failure(
        it.call, {http::failure_cause::invalid_response, "bad", std::nullopt});
    REQUIRE(it.replies.size() == 2);
    REQUIRE(std::get<peers::failed>(it.replies[0]).kind ==
            error_kind::deadline_passed);
    REQUIRE(std::get<peers::failed>(it.replies[1]).kind ==
            error_kind::upstream_failed);
    REQUIRE(it.counts->failed == 2);
}

// Guards against a lost call that ends twice at the node that has offered it:
// the end of its run brings the only reply.
TEST_CASE("the loss of a call sends no reply")
{
    reporter_fixture it;
    it.reporter.report_loss(it.call);
    REQUIRE(it.replies.empty());
    REQUIRE(it.counts->lost == 1);
}
