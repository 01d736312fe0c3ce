// Tests the choice among upstreams.
#include <catch2/catch.hpp>

#include "balancing/upstream_scores.hpp"

using namespace yuccafall;
using namespace yuccafall::balancing;
using core::milliseconds;

namespace {

core::instant at(long ms)
{
    return core::instant(std::chrono::hours(1)) + milliseconds(ms);
}

upstream make_upstream(char const* id, char const* data_centre = "a")
{
    upstream it;
    it.id = core::upstream_id(id);
    it.node = {core::ip_address("127.0.0.1"), core::port_number(1)};
    it.data_centre = core::data_centre(data_centre);
    it.slots = core::slot_count(6);
    return it;
}

load_report full_worker_report(long wait_ms)
{
    load_report it;
    it.running = core::slot_count(6);
    it.waiting = core::queue_length(4);
    it.slots = core::slot_count(6);
    it.wait_for_nested = milliseconds(wait_ms / 4);
    it.wait_at_back = milliseconds(wait_ms);
    return it;
}

class fixture
{
public:
    fixture()
    {
        choice_settings settings;
        settings.own_data_centre = core::data_centre("a");
        scores.emplace(settings);
    }

    // Returns how many of 200 calls each upstream gets.
    std::map<std::string, int>
    count_calls(std::vector<upstream> const& upstreams, long now,
                call_traits const& traits = {})
    {
        std::map<std::string, int> out;
        for (int i = 0; i < 200; ++i)
        {
            auto const it =
                scores->choose(upstreams, {}, traits, at(now), random);
            ++out[std::get<chosen>(it).target->id.value()];
        }
        return out;
    }

    void run(char const* id, char const* route, long ms, int times)
    {
        for (int i = 0; i < times; ++i)
        {
            scores->record_run(core::upstream_id(id), core::route_name(route),
                               milliseconds(ms));
        }
    }

    std::optional<upstream_scores> scores;
    core::random_source random{7};
};

} // namespace

TEST_CASE("equal upstreams share the calls")
{
    fixture f;
    auto const call_counts =
        f.count_calls({make_upstream("x"), make_upstream("y")}, 0);
    REQUIRE(call_counts.at("x") > 60);
    REQUIRE(call_counts.at("y") > 60);
}

// With mixed routes, a worker that happens to get the short calls must not
// count as a fast worker.
TEST_CASE("a worker's run time ratio does not depend on the routes it ran")
{
    fixture f;
    f.run("x", "short", 30, 100);
    f.run("y", "short", 30, 20);
    f.run("y", "long", 300, 100);
    call_traits traits;
    traits.route = core::route_name("long");
    auto const call_counts =
        f.count_calls({make_upstream("x"), make_upstream("y")}, 0, traits);
    REQUIRE(call_counts.at("x") > 40);
    REQUIRE(call_counts.at("y") > 40);
}

// Guards against an equal share of calls for workers of different speed.
TEST_CASE("the faster of two idle workers is preferred")
{
    fixture f;
    for (int i = 0; i < 100; ++i)
    {
        f.run("x", "r", 100, 1);
        f.run("y", "r", 200, 1);
    }
    call_traits traits;
    traits.route = core::route_name("r");
    auto const call_counts =
        f.count_calls({make_upstream("x"), make_upstream("y")}, 0, traits);
    REQUIRE(call_counts.at("x") == 200);
}

TEST_CASE("a worker with a free slot is preferred to a full one")
{
    fixture f;
    f.scores->record_report(core::upstream_id("x"), full_worker_report(300),
                            at(0));
    auto const upstreams =
        std::vector{make_upstream("x"), make_upstream("y", "b")};
    REQUIRE(f.count_calls(upstreams, 5).at("y") == 200);
}

// Guards against a wrong has_alternative: a call that is offered with it is
// refused where it would otherwise wait for a slot.
TEST_CASE("a choice reports whether another worker seems free")
{
    fixture f;
    std::vector<upstream> const upstreams{
        make_upstream("x"), make_upstream("y"), make_upstream("z")};
    auto const has_alternative = [&] {
        auto const it = f.scores->choose(upstreams, {}, {}, at(0), f.random);
        return std::get<chosen>(it).has_alternative;
    };
    REQUIRE(has_alternative());
    f.scores->record_report(core::upstream_id("x"), full_worker_report(300),
                            at(0));
    REQUIRE(has_alternative());
    f.scores->record_report(core::upstream_id("y"), full_worker_report(300),
                            at(0));
    // The only free worker is chosen, so no other worker is free.
    REQUIRE_FALSE(has_alternative());
    f.scores->record_report(core::upstream_id("z"), full_worker_report(300),
                            at(0));
    REQUIRE_FALSE(has_alternative());
}

// Pattern: uneven-workers. All nodes of a large deployment chose the fastest
// worker until the next report told them that it was full.
TEST_CASE(
    "many nodes spread their calls over free workers of the same distance")
{
    fixture f;
    f.scores->set_nodes(core::node_count(300));
    for (int i = 0; i < 100; ++i)
    {
        f.run("x", "r", 50, 1);
        f.run("y", "r", 100, 1);
    }
    call_traits traits;
    traits.route = core::route_name("r");
    load_report report;
    report.slots = core::slot_count(6);
    report.running = core::slot_count(3);
    for (auto const* id : {"x", "y", "far"})
    {
        f.scores->record_report(core::upstream_id(id), report, at(0));
    }
    report.rejection_share = core::percentage(40);
    f.scores->record_report(core::upstream_id("rejects"), report, at(0));
    auto const call_counts =
        f.count_calls({make_upstream("x"), make_upstream("y"),
                       make_upstream("far", "b"), make_upstream("rejects")},
                      5, traits);
    REQUIRE(call_counts.size() == 2);
    REQUIRE(call_counts.at("y") > 30);
    REQUIRE(call_counts.at("x") > call_counts.at("y"));
}

// A worker that limits its rate has free slots that no call can use. Guards
// against as many calls there as at a worker without a limit.
TEST_CASE("a worker that limits its rate gets calls by its rate")
{
    fixture f;
    f.scores->set_nodes(core::node_count(300));
    load_report report;
    report.slots = core::slot_count(6);
    report.running = core::slot_count(1);
    f.scores->record_report(core::upstream_id("y"), report, at(0));
    // One call of 100 ms in 100 ms.
    report.rate = core::rate_limited{core::millihertz(10'000)};
    f.scores->record_report(core::upstream_id("x"), report, at(0));
    auto const call_counts =
        f.count_calls({make_upstream("x"), make_upstream("y")}, 1);
    REQUIRE(call_counts.at("x") > 0);
    REQUIRE(call_counts.at("y") > 3 * call_counts.at("x"));
}

// Pattern: calm. While few nodes send calls, a report holds until the next one,
// and slower workers must not get calls that the fastest one can take.
TEST_CASE("calls of few nodes are not spread")
{
    auto const count_calls = [](std::uint64_t nodes) {
        fixture f;
        f.scores->set_nodes(core::node_count(nodes));
        for (int i = 0; i < 100; ++i)
        {
            f.run("x", "r", 50, 1);
            f.run("y", "r", 100, 1);
        }
        load_report report;
        report.slots = core::slot_count(6);
        report.running = core::slot_count(3);
        f.scores->record_report(core::upstream_id("x"), report, at(0));
        call_traits traits;
        traits.route = core::route_name("r");
        return f.count_calls({make_upstream("x"), make_upstream("y")}, 0,
                             traits);
    };
    REQUIRE(count_calls(14).at("x") == 200);
    REQUIRE(count_calls(300).at("x") < 200);
}

// A narrow link may be full with bodies while the worker has free slots.
TEST_CASE("an upload goes where bodies arrive sooner")
{
    fixture f;
    load_report narrow;
    narrow.slots = core::slot_count(6);
    narrow.wait_for_bodies = milliseconds(300);
    narrow.body_rate = core::bytes_per_second(800'000);
    f.scores->record_report(core::upstream_id("x"), narrow, at(0));
    std::vector<upstream> const upstreams{make_upstream("x"),
                                          make_upstream("y")};
    call_traits upload;
    upload.body_size = core::byte_count(60'000);
    upload.body_follows = true;
    REQUIRE(f.count_calls(upstreams, 0, upload).count("x") == 0);
    // Pending bodies do not delay short calls.
    REQUIRE(f.count_calls(upstreams, 0).at("x") > 60);
}

// Guards against an outdated estimate: a queue that was long at the time of its
// report may have drained since.
TEST_CASE("a reported wait shrinks as time passes")
{
    fixture f;
    f.scores->record_report(core::upstream_id("x"), full_worker_report(300),
                            at(0));
    auto const upstreams =
        std::vector{make_upstream("x"), make_upstream("y", "b")};
    REQUIRE(f.count_calls(upstreams, 400).count("x") == 1);
}

// Guards against nodes that send a cold worker, whose slots are free, as many
// calls as the others get, and against nodes that send it none.
TEST_CASE("a cold worker gets calls as its cold rate allows")
{
    fixture f;
    load_report cold;
    cold.slots = core::slot_count(6);
    cold.cold_rate = core::rate_limited{core::millihertz(16'000)};
    f.scores->record_report(core::upstream_id("x"), cold, at(0));
    auto const upstreams = std::vector{make_upstream("x"), make_upstream("y")};
    REQUIRE(f.count_calls(upstreams, 1)["x"] > 50);
    for (int i = 0; i < 3; ++i)
    {
        f.scores->record_sent(core::upstream_id("x"), at(2));
        f.scores->record_sent(core::upstream_id("y"), at(2));
    }
    REQUIRE(f.count_calls(upstreams, 3)["x"] == 0);
}

// Guards against a burst of calls to the worker whose last report was good:
// calls sent since that report must count as load.
TEST_CASE("calls that a report does not include are added to it")
{
    fixture f;
    load_report empty;
    empty.slots = core::slot_count(6);
    f.scores->record_report(core::upstream_id("x"), empty, at(0));
    for (int i = 0; i < 7; ++i)
    {
        f.scores->record_sent(core::upstream_id("x"), at(1));
    }
    auto const upstreams =
        std::vector{make_upstream("x"), make_upstream("y", "b")};
    auto const call_counts = f.count_calls(upstreams, 2);
    REQUIRE(call_counts.count("y") == 1);
    REQUIRE(call_counts.at("y") > 150);
}

TEST_CASE("the own data centre is preferred among equal workers")
{
    fixture f;
    auto const upstreams =
        std::vector{make_upstream("x", "b"), make_upstream("y", "a")};
    REQUIRE(f.count_calls(upstreams, 0).at("y") == 200);
}

// A large service over several data centres has 39 workers. A third of them are
// in the data centre of the choosing node, and only a few of those are free. A
// random draw over all 39 workers misses the free ones for two calls in five.
TEST_CASE("a free worker of the own data centre is found in a large service")
{
    fixture f;
    std::vector<upstream> upstreams;
    for (int i = 0; i < 39; ++i)
    {
        auto const id = "w" + std::to_string(i);
        upstreams.push_back(make_upstream(id.c_str(), i < 13 ? "a" : "b"));
        if (i >= 4)
        {
            f.scores->record_report(core::upstream_id(id),
                                    full_worker_report(300), at(0));
        }
    }
    auto const call_counts = f.count_calls(upstreams, 0);
    int free = 0;
    for (auto const& [id, n] : call_counts)
    {
        free += id.size() == 2 && id < "w4" ? n : 0;
    }
    REQUIRE(free >= 190);
}

// A worker may run some calls and reject many others. Each rejected call uses
// up part of the retry budget.
TEST_CASE("a worker that rejects many calls is avoided")
{
    fixture f;
    load_report high_rejection;
    high_rejection.slots = core::slot_count(6);
    high_rejection.rejection_share = core::percentage(40);
    f.scores->record_report(core::upstream_id("x"), high_rejection, at(0));
    auto const upstreams =
        std::vector{make_upstream("x"), make_upstream("y", "b")};
    REQUIRE(f.count_calls(upstreams, 1).at("y") == 200);
}

TEST_CASE("a node that cannot be reached gets no calls for a while")
{
    fixture f;
    auto const upstreams = std::vector{
        make_upstream("x"), make_upstream("y", "b"), make_upstream("z", "b")};
    f.scores->record_sent(core::upstream_id("x"), at(0));
    f.scores->record_ended(core::upstream_id("x"), outcome::unreachable, at(0));
    REQUIRE(f.count_calls(upstreams, 10).count("x") == 0);
    REQUIRE(f.count_calls(upstreams, 600).count("x") == 1);
}

// Guards against one bad request that ejects a worker.
TEST_CASE("one failed run does not eject a worker")
{
    fixture f;
    f.scores->record_ended(core::upstream_id("x"), outcome::failed, at(0));
    REQUIRE_FALSE(f.scores->is_ejected(core::upstream_id("x"), at(1)));
    f.scores->record_sent(core::upstream_id("x"), at(1));
    f.scores->record_ended(core::upstream_id("x"), outcome::failed, at(1));
    f.scores->record_ended(core::upstream_id("x"), outcome::failed, at(1));
    REQUIRE(f.scores->is_ejected(core::upstream_id("x"), at(2)));
}

// If a node is cut off from the network, all workers seem to fail at once. It
// must not leave out any of them then.
TEST_CASE("ejections of most workers at once are ignored")
{
    fixture f;
    std::vector<upstream> upstreams;
    for (auto const* id : {"u", "v", "w", "x"})
    {
        upstreams.push_back(make_upstream(id));
        f.scores->record_sent(core::upstream_id(id), at(0));
        f.scores->record_ended(core::upstream_id(id), outcome::unreachable,
                               at(0));
    }
    auto const it = f.scores->choose(upstreams, {}, {}, at(1), f.random);
    REQUIRE(std::holds_alternative<chosen>(it));
}

TEST_CASE("no upstream is left once all have been tried")
{
    fixture f;
    auto const it = f.scores->choose(
        {make_upstream("x")}, {core::upstream_id("x")}, {}, at(0), f.random);
    REQUIRE(std::holds_alternative<none_available>(it));
}

// Pattern: downloads from workers behind narrow links (further-grown). The
// slots of all workers were free, so their links were not considered.
TEST_CASE("a long response is asked of a worker whose link is free")
{
    fixture f;
    auto const x = make_upstream("x");
    auto const y = make_upstream("y");
    load_report report;
    report.slots = core::slot_count(6);
    report.body_rate = core::bytes_per_second(1'000'000);
    f.scores->record_report(y.id, report, at(0));
    report.wait_for_bodies = milliseconds(600);
    f.scores->record_report(x.id, report, at(0));
    f.scores->record_response_size(core::route_name("export"),
                                   core::byte_count(90'000));
    call_traits traits;
    traits.route = core::route_name("export");
    traits.long_response = true;
    REQUIRE(f.count_calls({x, y}, 0, traits).at("y") == 200);
    traits.route = core::route_name("lookup");
    traits.long_response = false;
    REQUIRE(f.count_calls({x, y}, 0, traits).at("x") > 60);
}

// A response of the worker beside the node crosses one link less.
TEST_CASE("a long response is asked of the worker beside the node first")
{
    choice_settings settings;
    settings.own_data_centre = core::data_centre("a");
    auto own = make_upstream("own");
    own.node.port = core::port_number(7);
    settings.own_node = own.node;
    upstream_scores scores(settings);
    auto const other = make_upstream("other");
    load_report report;
    report.slots = core::slot_count(6);
    report.body_rate = core::bytes_per_second(1'000'000);
    scores.record_report(own.id, report, at(0));
    scores.record_report(other.id, report, at(0));
    scores.record_response_size(core::route_name("export"),
                                core::byte_count(90'000));
    call_traits traits;
    traits.route = core::route_name("export");
    traits.long_response = true;
    std::vector<upstream> const upstreams{other, own};
    core::random_source random{7};
    for (int i = 0; i < 100; ++i)
    {
        auto const it = scores.choose(upstreams, {}, traits, at(0), random);
        REQUIRE(std::get<chosen>(it).target->id == own.id);
    }
}

// Pattern: urgent requests during a burst of less urgent ones. Guards against
// refusing urgent calls with the burst, and against queueing them behind calls
// that are expected before the next report.
TEST_CASE("an urgent call is placed behind all that wait, but not refused for "
          "less urgent ones")
{
    fixture f;
    auto report = full_worker_report(400);
    report.wait_for_nested = milliseconds(5);
    report.waits_by_rank = {{core::rank(2), milliseconds(400)}};
    f.scores->record_report(core::upstream_id("near"), report, at(0));
    f.scores->record_report(core::upstream_id("far"), full_worker_report(60),
                            at(0));
    std::vector<upstream> const workers{make_upstream("near"),
                                        make_upstream("far", "b")};
    call_traits urgent;
    urgent.rank = core::rank(1);
    REQUIRE(f.count_calls(workers, 0, urgent).at("far") == 200);

    core::random_source random{5};
    auto const wait_at_near = [&](std::uint32_t rank) {
        call_traits traits;
        traits.rank = core::rank(rank);
        auto const it =
            f.scores->choose({workers[0]}, {}, traits, at(0), random);
        return std::get<chosen>(it).candidates.front().wait;
    };
    REQUIRE(wait_at_near(1) <= milliseconds(20));
    REQUIRE(wait_at_near(2) >= milliseconds(400));

    // Less urgent calls that were sent since the report do not go ahead either.
    for (int i = 0; i < 20; ++i)
    {
        f.scores->record_sent(workers[0].id, at(0));
    }
    REQUIRE(wait_at_near(1) <= milliseconds(20));
}

// Guards against a rank without waiting calls that counts as the most or the
// least urgent one, and against nested calls that lose their place.
TEST_CASE("a rank that a report does not list has the next more urgent wait")
{
    auto report = full_worker_report(400);
    report.wait_for_nested = milliseconds(5);
    auto const wait = [&](std::uint32_t rank, bool nested = false) {
        return wait_for_call(report, nested, core::rank(rank)).count();
    };
    REQUIRE(wait(0) == 400);
    report.waits_by_rank = {{core::rank(1), milliseconds(50)},
                            {core::rank(4), milliseconds(300)}};
    REQUIRE(wait(0) == 5);
    REQUIRE(wait(1) == 50);
    REQUIRE(wait(3) == 50);
    REQUIRE(wait(9) == 300);
    REQUIRE(wait(9, true) == 5);
}

namespace {

upstream make_upstream_at(char const* id, std::uint16_t port)
{
    auto it = make_upstream(id);
    it.node.port = core::port_number(port);
    return it;
}

} // namespace

// Guards against offering calls to a node that has failed until its connection
// is closed, and against a rule that goes on when the node has responded.
TEST_CASE(
    "a worker beside an unresponsive node gets no calls until it responds")
{
    fixture f;
    std::vector<upstream> const upstreams{make_upstream_at("x", 1),
                                          make_upstream_at("y", 2)};
    f.scores->record_responsive(upstreams[0].node, false);
    REQUIRE(f.count_calls(upstreams, 0).at("y") == 200);
    // The worker that was left out may have room, so that the load of the other
    // one must not refuse a call.
    core::random_source random{5};
    auto const it = f.scores->choose(upstreams, {}, {}, at(0), random);
    REQUIRE(std::get<chosen>(it).candidates.empty());
    REQUIRE_FALSE(f.scores->is_ejected(upstreams[0].id, at(0)));
    f.scores->record_responsive(upstreams[0].node, true);
    REQUIRE(f.count_calls(upstreams, 0).at("x") > 60);
}

// Guards against refusing calls when nothing else can be chosen.
TEST_CASE("the choice is as usual if all nodes are unresponsive")
{
    fixture f;
    std::vector<upstream> const upstreams{make_upstream_at("x", 1),
                                          make_upstream_at("y", 2)};
    f.scores->record_responsive(upstreams[0].node, false);
    f.scores->record_responsive(upstreams[1].node, false);
    auto const counts = f.count_calls(upstreams, 0);
    REQUIRE(counts.at("x") > 60);
    REQUIRE(counts.at("y") > 60);
    auto const it =
        f.scores->choose(upstreams, {upstreams[0].id}, {}, at(0), f.random);
    REQUIRE(std::get<chosen>(it).target->id.value() == "y");
    REQUIRE_FALSE(std::get<chosen>(it).avoids_unresponsive_node);
}

// Guards against an offer that requires a free slot since the worker beside an
// unresponsive node seems free, and against counting calls that would not have
// gone there.
TEST_CASE("an unresponsive node is no alternative")
{
    fixture f;
    std::vector<upstream> const upstreams{make_upstream_at("x", 1),
                                          make_upstream_at("y", 2)};
    f.scores->record_responsive(upstreams[0].node, false);
    auto const choose = [&] {
        return std::get<chosen>(
            f.scores->choose(upstreams, {}, {}, at(0), f.random));
    };
    REQUIRE_FALSE(choose().has_alternative);
    f.scores->record_report(upstreams[1].id, full_worker_report(300), at(0));
    REQUIRE(choose().avoids_unresponsive_node);
    f.scores->record_report(upstreams[0].id, full_worker_report(3'000), at(0));
    f.scores->record_report(upstreams[1].id, {}, at(0));
    REQUIRE_FALSE(choose().avoids_unresponsive_node);
}

// Guards against offers to a failed node whose calls have all left it before
// its connection is closed, so that none of them reports a failure.
TEST_CASE("the worker beside a lost node is ejected once")
{
    fixture f;
    std::vector<upstream> const upstreams{make_upstream_at("x", 1),
                                          make_upstream_at("y", 2)};
    f.scores->record_sent(upstreams[0].id, at(0));
    f.scores->record_ended(upstreams[0].id, outcome::abandoned, at(0));
    REQUIRE_FALSE(f.scores->is_ejected(upstreams[0].id, at(0)));
    f.scores->record_node_lost(upstreams[0].id, at(0));
    REQUIRE(f.scores->is_ejected(upstreams[0].id, at(0)));
    // A second record at the same time does not make the ejection longer.
    fixture once;
    for (auto* it : {&f, &once})
    {
        it->scores->record_sent(upstreams[1].id, at(0));
        it->scores->record_ended(upstreams[1].id, outcome::unreachable, at(0));
    }
    f.scores->record_node_lost(upstreams[1].id, at(0));
    for (long ms = 0; ms < 2'000; ms += 10)
    {
        REQUIRE(f.scores->is_ejected(upstreams[1].id, at(ms)) ==
                once.scores->is_ejected(upstreams[1].id, at(ms)));
    }
}
