// Tests which calls are refused before they are offered to a worker.
#include <algorithm>
#include <utility>

#include <catch2/catch.hpp>

#include "admission/first_node_admission.hpp"
#include "admission/slot_queue.hpp"
#include "balancing/upstream_scores.hpp"

using namespace yuccafall;
using namespace yuccafall::admission;
using core::milliseconds;

namespace {

core::instant at(long ms)
{
    return core::instant(std::chrono::hours(1)) + milliseconds(ms);
}

// A worker whose queue refuses calls with a target time before at(400).
balancing::candidate_estimate full_worker(long wait_ms = 300)
{
    balancing::candidate_estimate it;
    it.wait = milliseconds(wait_ms);
    it.run_time = milliseconds(90);
    it.ends_after = milliseconds(wait_ms + 90);
    it.report_age = milliseconds(40);
    it.waiting = core::queue_length(3);
    it.slots = core::slot_count(6);
    return it;
}

first_node_call make_call(long target_ms = 200, long deadline_ms = 2'000)
{
    return {false, at(deadline_ms), at(target_ms)};
}

// Returns how many of 1,000 calls are refused.
int count_refusals(first_node_call const& call,
                   std::vector<balancing::candidate_estimate> const& candidates)
{
    core::random_source random{3};
    int out = 0;
    for (int i = 0; i < 1'000; ++i)
    {
        auto const it =
            decide_first_node_admission(call, candidates, at(0), random);
        out += std::holds_alternative<first_node_refused>(it) ? 1 : 0;
    }
    return out;
}

// A node that offers calls to one worker with a queue of six slots. Service
// times are the initial 100 ms of both estimates.
class fixture
{
public:
    fixture()
    {
        queue_settings settings;
        settings.slots = core::slot_count(6);
        queue.emplace(settings);
        worker.id = core::upstream_id("x");
        worker.slots = core::slot_count(6);
    }

    // Returns whether the worker's queue refuses a new call.
    bool is_refused_by_queue(std::uint32_t rank, long now)
    {
        job it;
        it.call = {core::incarnation(1), ++last_call};
        it.rank = core::rank(rank);
        it.target_time = at(now + 400);
        it.deadline = at(now + 1'000);
        auto const actions = queue->handle(call_offered{it}, at(now));
        return !actions.empty() &&
               std::holds_alternative<refuse_call>(actions.front());
    }

    void end_runs(long now)
    {
        for (std::uint64_t i = 1; i <= last_call; ++i)
        {
            queue->handle(run_ended{{core::incarnation(1), i}}, at(now));
        }
    }

    void report_load(long now)
    {
        balancing::load_report it;
        it.running =
            core::slot_count(static_cast<std::uint32_t>(queue->running()));
        it.waiting =
            core::queue_length(static_cast<std::uint32_t>(queue->waiting()));
        it.slots = queue->slots();
        it.wait_for_nested = queue->wait_for_nested(at(now));
        it.wait_at_back = queue->wait_at_back(at(now));
        it.waits_by_rank = queue->waits_by_rank(at(now));
        scores.record_report(worker.id, it, at(now));
    }

    // Returns the number of new calls of 100 that the first node refuses.
    int refused_at_first_node(std::uint32_t rank, long now)
    {
        int out = 0;
        balancing::call_traits traits;
        traits.rank = core::rank(rank);
        for (int i = 0; i < 100; ++i)
        {
            auto const it =
                scores.choose({worker}, {}, traits, at(now), random);
            auto const decision = decide_first_node_admission(
                make_call(now + 400, now + 1'000),
                std::get<balancing::chosen>(it).candidates, at(now), random);
            out += std::holds_alternative<first_node_refused>(decision) ? 1 : 0;
        }
        return out;
    }

    std::optional<slot_queue> queue;
    balancing::upstream worker;
    balancing::upstream_scores scores{{}};
    core::random_source random{7};
    std::uint64_t last_call = 0;
};

} // namespace

// Pattern: a burst of one route. Guards against refusals that cross the network
// first, and against urgent calls that are refused with the burst.
TEST_CASE("a burst of one rank is refused at the first node while more urgent "
          "calls are admitted")
{
    fixture f;
    while (!f.is_refused_by_queue(2, 0))
    {}
    f.report_load(0);
    REQUIRE(f.refused_at_first_node(2, 0) >= 70);
    REQUIRE(f.refused_at_first_node(1, 0) == 0);
    REQUIRE_FALSE(f.is_refused_by_queue(1, 0));
}

// Pattern: the time after a burst. Guards against a node that keeps refusing
// because it sends no calls, so that no report comes.
TEST_CASE("after a burst all calls are admitted with the next load report, or "
          "without one")
{
    fixture f;
    while (!f.is_refused_by_queue(2, 0))
    {}
    f.report_load(0);
    REQUIRE(f.refused_at_first_node(2, 10) > 0);
    REQUIRE(f.refused_at_first_node(2, 250) == 0);

    f.report_load(300);
    f.end_runs(350);
    f.end_runs(400);
    f.end_runs(450);
    f.end_runs(500);
    f.report_load(500);
    REQUIRE(f.queue->waiting() == 0);
    REQUIRE(f.refused_at_first_node(2, 500) == 0);
}

// Guards against refusals while one worker has room or while its queue may have
// room, for instance after a restart of this node.
TEST_CASE("a call is admitted if one queue may take it")
{
    REQUIRE(count_refusals(make_call(), {full_worker(), full_worker()}) > 0);
    auto other = full_worker();
    SECTION("its report is old")
    {
        other.report_age = milliseconds(250);
    }
    SECTION("it has sent no report")
    {
        other.report_age.reset();
    }
    SECTION("it has a free slot")
    {
        other.wait = {};
    }
    SECTION("few calls wait")
    {
        other.waiting = core::queue_length(2);
    }
    SECTION("the call would be in time")
    {
        other.ends_after = milliseconds(220);
    }
    REQUIRE(count_refusals(make_call(), {full_worker(), other}) == 0);
    REQUIRE(count_refusals(make_call(), {}) == 0);
}

// Guards against calls that take a slot and end after their deadline, although
// few calls wait.
TEST_CASE("a call that would miss its deadline at every worker is refused")
{
    auto worker = full_worker();
    worker.waiting = core::queue_length(1);
    REQUIRE(count_refusals(make_call(200, 434), {worker}) > 0);
    REQUIRE(count_refusals(make_call(200, 435), {worker}) == 0);
}

// Guards against requests that hold slots for calls that are refused.
TEST_CASE("a nested call is never refused at the first node")
{
    auto call = make_call();
    call.nested = true;
    REQUIRE(count_refusals(call, {full_worker()}) == 0);
}

// Guards against a shortage that no node notices the end of, and against more
// calls to full workers than are needed to notice it.
TEST_CASE("one in ten of the calls to be refused is admitted")
{
    auto const refused = count_refusals(make_call(), {full_worker()});
    REQUIRE(refused > 860);
    REQUIRE(refused < 940);
}

// Guards against the callers of all nodes that return at the same time.
TEST_CASE("the retry delay is the shortest wait with a random part")
{
    core::random_source random{5};
    auto const delays = [&](long wait_ms) {
        std::vector<milliseconds> out;
        while (out.size() < 200)
        {
            auto const it = decide_first_node_admission(
                make_call(1),
                {full_worker(wait_ms + 500), full_worker(wait_ms)}, at(0),
                random);
            if (auto const* refused = std::get_if<first_node_refused>(&it))
            {
                REQUIRE(refused->wait == milliseconds(wait_ms));
                REQUIRE(refused->report_age == milliseconds(40));
                out.push_back(refused->retry_after);
            }
        }
        return std::pair(*std::min_element(out.begin(), out.end()),
                         *std::max_element(out.begin(), out.end()));
    };
    auto const [shortest, longest] = delays(400);
    REQUIRE(shortest >= milliseconds(400));
    REQUIRE(shortest < milliseconds(420));
    REQUIRE(longest > milliseconds(580));
    REQUIRE(longest <= milliseconds(600));
    REQUIRE(delays(1).first >= milliseconds(30));
    auto const bounded = delays(9'000);
    REQUIRE(bounded.second <= milliseconds(2'000));
    REQUIRE(bounded.first < bounded.second);
}
