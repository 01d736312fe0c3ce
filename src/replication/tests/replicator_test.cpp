// Tests that nodes keep their copies of the store current. Some tests drive a
// single replicator with explicit events, others run many nodes on a simulated
// network.
#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include "replication/codec.hpp"
#include "replication/replicator.hpp"
#include "replication/tests/simulated_mesh.hpp"

using namespace yuccafall;
using namespace yuccafall::replication;
using core::milliseconds;

namespace {

template <class Action>
std::vector<Action> actions_of(std::vector<replicator_action> const& actions)
{
    std::vector<Action> out;
    for (auto const& it : actions)
    {
        if (auto const* a = std::get_if<Action>(&it))
        {
            out.push_back(*a);
        }
    }
    return out;
}

replicator make_replicator(char const* data_centre = "a")
{
    replicator_settings settings;
    settings.own_data_centre = core::data_centre(data_centre);
    return replicator(settings, 1);
}

digest digest_of(std::uint64_t as_of, long confirmed_ago = 0,
                 char const* data_centre = "a")
{
    return {core::revision(as_of), milliseconds(confirmed_ago),
            core::data_centre(data_centre)};
}

link_id const peer_link(1);

// Returns a reader that has read the whole state as of revision 9 at 204 ms.
replicator make_reader()
{
    auto it = make_replicator();
    it.handle(started{}, at(0));
    it.handle(role_assigned{true}, at(200));
    it.handle(timer_expired{}, at(200));
    it.handle(page_read{{written_item("a", 9)}, core::revision(9), false},
              at(204));
    return it;
}

} // namespace

// Guards against other nodes that stop reading the store because this node
// confirms a copy which its read of several pages has not brought up to date.
TEST_CASE("a copy is confirmed only when a read of several pages is complete")
{
    auto it = make_reader();
    it.handle(history_discarded{}, at(1'000));
    it.handle(page_read{{written_item("a", 9)}, core::revision(20), true},
              at(1'004));
    it.handle(page_read{{written_item("b", 21)}, core::revision(21), false},
              at(1'008));
    REQUIRE(it.confirmed_ago(at(1'008)) == milliseconds(804));
    it.handle(watch_answered{{}, core::revision(20)}, at(1'012));
    REQUIRE(it.confirmed_ago(at(1'012)) == milliseconds(808));
    it.handle(watch_answered{{written_item("b", 21)}, core::revision(21)},
              at(1'016));
    REQUIRE(it.confirmed_ago(at(1'016)) == milliseconds(0));
    REQUIRE(it.state().as_of() == core::revision(21));
}

TEST_CASE("each message is equal after encoding and decoding")
{
    message const messages[] = {
        digest_of(7, 30),
        changes{{core::revision(3),
                 core::revision(9),
                 {written_item("a", 9), {"b", "", core::revision(8), true}},
                 {{"c", core::revision(7), core::revision(5), "frame"}}},
                milliseconds(4)},
        changes{{core::revision(3),
                 core::revision(9),
                 {written_item("a", 9)},
                 {},
                 false},
                milliseconds(4)},
        pull{core::revision(2)}};
    for (auto const& it : messages)
    {
        auto const bytes = encode(it);
        auto const decoded = decode(bytes);
        REQUIRE(decoded);
        REQUIRE(encode(*decoded) == bytes);
        for (std::size_t n = 0; n < bytes.size(); ++n)
        {
            REQUIRE_FALSE(decode(bytes.substr(0, n)));
        }
    }
}

// Guards against a node that cannot start while the store is down, although its
// running peers have the state.
TEST_CASE("a starting node takes the state of a peer before it reads the store")
{
    auto it = make_replicator();
    it.handle(started{}, at(0));
    it.handle(role_assigned{false}, at(0));
    it.handle(link_opened{peer_link}, at(5));
    auto const requests = actions_of<send_message>(
        it.handle(message_received{peer_link, digest_of(9, 30)}, at(10)));
    REQUIRE(std::holds_alternative<pull>(requests.front().content));
    changes const whole{
        {core::revision(), core::revision(9), {written_item("a", 9)}, {}},
        milliseconds(20)};
    auto const applied = it.handle(message_received{peer_link, whole}, at(15));
    REQUIRE(actions_of<deliver_items>(applied).front().items.size() == 1);
    REQUIRE_FALSE(it.reads_store());
    REQUIRE(it.confirmed_ago(at(15)) == milliseconds(20));
}

// Guards against a burst of store calls when all nodes start within a third of
// a second: the store rejects calls above its rate limit, and each call is
// charged.
TEST_CASE("nodes that start together leave the first read to the seeds")
{
    replicator_settings settings;
    settings.own_data_centre = core::data_centre("a");
    settings.is_seed = true;
    replicator seed(settings, 1);
    REQUIRE(actions_of<read_page>(seed.handle(started{}, at(0))).size() == 1);

    auto other = make_replicator();
    other.handle(started{}, at(0));
    other.handle(link_opened{peer_link}, at(5));
    // The seed has no state yet either.
    other.handle(message_received{peer_link, digest_of(0)}, at(6));
    REQUIRE(
        actions_of<read_page>(other.handle(timer_expired{}, at(500))).empty());
    auto const due = other.next_timer();
    REQUIRE(due);
    REQUIRE(*due <= at(750));
    REQUIRE(actions_of<read_page>(other.handle(timer_expired{}, *due)).size() ==
            1);

    // A node that gets the state before the list of nodes is known does not
    // read the store at all.
    auto with_state = make_replicator();
    with_state.handle(started{}, at(0));
    with_state.handle(link_opened{peer_link}, at(5));
    changes const whole{
        {core::revision(), core::revision(9), {written_item("a", 9)}, {}},
        milliseconds(0)};
    with_state.handle(message_received{peer_link, whole}, at(30));
    with_state.handle(timer_expired{}, at(800));
    REQUIRE_FALSE(with_state.reads_store());

    // A node without a peer does not use the longer wait.
    auto alone = make_replicator();
    alone.handle(started{}, at(0));
    REQUIRE(*alone.next_timer() <= at(225));
}

// Guards against needless store calls when all nodes start within a third of a
// second: while the list of nodes is short, each node is briefly a reader.
TEST_CASE("a reader role that is soon withdrawn causes no store call")
{
    auto it = make_replicator();
    it.handle(started{}, at(0));
    it.handle(link_opened{peer_link}, at(5));
    changes const whole{
        {core::revision(), core::revision(9), {written_item("a", 9)}, {}},
        milliseconds(0)};
    it.handle(message_received{peer_link, whole}, at(30));
    REQUIRE(actions_of<watch>(it.handle(role_assigned{true}, at(40))).empty());
    REQUIRE(
        actions_of<watch>(it.handle(role_assigned{false}, at(200))).empty());
    REQUIRE(actions_of<watch>(it.handle(role_assigned{true}, at(300))).empty());
    REQUIRE(*it.next_timer() == at(800));
    REQUIRE(actions_of<watch>(it.handle(timer_expired{}, at(800))).size() == 1);
}

// Guards against a stale copy: a source may be connected but unable to reach
// the store.
TEST_CASE("a node whose sources cannot confirm their copies reads the store")
{
    auto it = make_replicator();
    it.handle(started{}, at(0));
    it.handle(role_assigned{false}, at(0));
    it.handle(link_opened{peer_link}, at(5));
    changes const whole{
        {core::revision(), core::revision(9), {written_item("a", 9)}, {}},
        milliseconds(0)};
    it.handle(message_received{peer_link, whole}, at(10));
    it.handle(message_received{peer_link, digest_of(9, 0)}, at(1'000));
    // The peer is connected, but its last confirmation by the store is old.
    it.handle(message_received{peer_link, digest_of(9, 1'300)}, at(2'300));
    auto const due = it.next_timer();
    REQUIRE(due == at(2'400));
    auto const actions = it.handle(timer_expired{}, at(2'400));
    REQUIRE(it.reads_store());
    REQUIRE(actions_of<watch>(actions).front().after == core::revision(9));
    it.handle(message_received{peer_link, digest_of(9, 0)}, at(2'500));
    REQUIRE_FALSE(it.reads_store());
}

// Guards against whole configurations that are sent to another data centre
// without need.
TEST_CASE("a peer in another data centre gets a digest, and changes on a pull")
{
    auto it = make_replicator();
    it.handle(started{}, at(0));
    it.handle(role_assigned{true}, at(200));
    it.handle(link_opened{peer_link}, at(200));
    it.handle(message_received{peer_link, digest_of(0, 0, "b")}, at(201));
    auto const updates = actions_of<send_message>(it.handle(
        page_read{{written_item("a", 9)}, core::revision(9), false}, at(210)));
    REQUIRE(updates.size() == 1);
    REQUIRE(std::holds_alternative<digest>(updates.front().content));
    auto const sent = actions_of<send_message>(it.handle(
        message_received{peer_link, pull{core::revision()}}, at(220)));
    REQUIRE(std::holds_alternative<changes>(sent.front().content));
}

TEST_CASE(
    "changes from another data centre are pulled if no other peer sends them")
{
    auto it = make_replicator("b");
    it.handle(started{}, at(0));
    it.handle(role_assigned{true}, at(200));
    it.handle(page_read{{written_item("a", 9)}, core::revision(9), false},
              at(210));
    it.handle(link_opened{peer_link}, at(220));
    auto const before_delay =
        it.handle(message_received{peer_link, digest_of(12)}, at(230));
    REQUIRE(actions_of<send_message>(before_delay).empty());
    auto const after_delay = it.handle(timer_expired{}, at(640));
    REQUIRE(std::holds_alternative<pull>(
        actions_of<send_message>(after_delay).front().content));
}

namespace {

// Returns the report of a reader whose watch fails at 900 ms and whose next
// call succeeds at 1,000 ms. Another node confirms its copy in between if
// `confirmed` is set.
report_store_regained regain_after(call_failed const& failure, bool confirmed)
{
    auto it = make_reader();
    it.handle(failure, at(900));
    if (confirmed)
    {
        it.handle(link_opened{peer_link}, at(950));
        it.handle(message_received{peer_link, digest_of(9, 10)}, at(960));
    }
    it.handle(timer_expired{}, at(990));
    return actions_of<report_store_regained>(
               it.handle(watch_answered{{}, core::revision(9)}, at(1'000)))
        .front();
}

} // namespace

// Guards against a copy that refuses all later changes, because a watch without
// changes has moved the reader past the copy's revision.
TEST_CASE("a revision without changes brings the copy to it")
{
    auto it = make_reader();
    it.handle(watch_answered{{}, core::revision(11)}, at(1'000));
    REQUIRE(it.state().as_of() == core::revision(11));
    auto const applied = it.handle(
        watch_answered{{written_item("a", 12)}, core::revision(12)}, at(1'500));
    REQUIRE(actions_of<deliver_items>(applied).size() == 1);
    REQUIRE(it.state().as_of() == core::revision(12));
}

// Guards against a watch that was cut and counts as an outage of the store. The
// workers' entries are trusted less after an outage.
TEST_CASE("a store that closes a call was available until then")
{
    REQUIRE(regain_after(call_failed{"eof", true}, false).last_available_at ==
            at(900));
}

TEST_CASE("a store that does not respond may be away since its last response")
{
    call_failed const failure{"no response"};
    REQUIRE(regain_after(failure, false).last_available_at == at(204));
    // The store was reached by another node.
    REQUIRE(regain_after(failure, true).last_available_at == at(950));
}

// Guards against slow propagation: a single change has to take effect on all
// nodes well within two seconds.
TEST_CASE("a single change reaches all nodes within half a second")
{
    rc::prop("seeds", [](std::uint16_t seed) {
        simulated_mesh nodes(3, 5, seed);
        nodes.run_until(5'000);
        nodes.write();
        nodes.run_until(5'500);
        for (std::size_t i = 0; i < nodes.size(); ++i)
        {
            RC_ASSERT(nodes.revision_of(i) == nodes.revision());
            RC_ASSERT(nodes.is_current(i));
        }
    });
}

// Guards against nodes that depend on sources which cannot reach the store. Any
// node that can reach the store has to be current within two seconds of a
// change.
TEST_CASE("a node that reaches the store is current while others are cut off")
{
    rc::prop("cuts", [](std::uint16_t seed, std::uint16_t cut_bits) {
        simulated_mesh nodes(3, 5, seed);
        nodes.run_until(5'000);
        auto const is_cut = [&](std::size_t i) {
            return (cut_bits >> (i % 16) & 1) != 0;
        };
        for (std::size_t i = 0; i < nodes.size(); ++i)
        {
            nodes.cut_store(i, is_cut(i));
        }
        nodes.write();
        nodes.run_until(7'000);
        for (std::size_t i = 0; i < nodes.size(); ++i)
        {
            RC_ASSERT(is_cut(i) || nodes.revision_of(i) == nodes.revision());
        }
        nodes.run_until(9'000);
        bool const any_reads = cut_bits != 0xffff;
        for (std::size_t i = 0; i < nodes.size() && any_reads; ++i)
        {
            // Nodes that reach the store have the newest revision.
            RC_ASSERT(nodes.revision_of(i) == nodes.revision() || is_cut(i));
        }
    });
}

// Guards against a configuration that is in force late because connections to
// the store and between nodes have gone silent: nodes noticed it up to two
// seconds after they had begun to doubt their copy, which took 1.4 s by itself.
TEST_CASE("a change is in force within two seconds of a silence of connections")
{
    rc::prop("seeds", [](std::uint16_t seed) {
        simulated_mesh nodes(3, 5, seed);
        nodes.run_until(5'000);
        // Nodes that have read the store once keep their connection to it.
        for (std::size_t i = 0; i < nodes.size(); ++i)
        {
            nodes.cut_store(i, seed % 2 == 0);
        }
        nodes.run_until(8'000);
        for (std::size_t i = 0; i < nodes.size(); ++i)
        {
            nodes.cut_store(i, false);
        }
        auto const silent_at = 12'000 + seed % 1'000;
        nodes.run_until(silent_at);
        nodes.silence_connections();
        nodes.write();
        nodes.run_until(silent_at + 2'000);
        for (std::size_t i = 0; i < nodes.size(); ++i)
        {
            RC_ASSERT(nodes.is_current(i));
        }
    });
}

// Guards against the same where only a part of the connections between nodes is
// silent, and where that comes again before the nodes have recovered (the
// users' day "severed").
TEST_CASE("a change is in force within two seconds of a silence of some links")
{
    rc::prop("seeds", [](std::uint16_t seed, std::uint8_t part) {
        simulated_mesh nodes(3, 5, seed);
        auto const silent_at = 6'000 + seed % 1'000;
        auto const again_at = silent_at + 500 + seed % 3'000;
        auto const part_of_links = part % 101;
        nodes.run_until(silent_at);
        nodes.silence_links(part_of_links);
        nodes.run_until(again_at);
        nodes.silence_links(part_of_links);
        nodes.write();
        nodes.run_until(again_at + 2'000);
        for (std::size_t i = 0; i < nodes.size(); ++i)
        {
            RC_ASSERT(nodes.is_current(i));
        }
    });
}

// Guards against store calls that grow with a burst of changes. Only the
// readers call the store, and changes in quick succession are read with one
// call.
TEST_CASE("the number of store calls does not grow with the number of changes")
{
    simulated_mesh nodes(3, 5, 1);
    nodes.run_until(5'000);
    auto const before = nodes.store_calls();
    for (long ms = 5'000; ms < 10'000; ms += 50)
    {
        nodes.write();
        nodes.run_until(ms + 50);
    }
    // Each of the six readers makes at most one call in 150 ms.
    REQUIRE(nodes.store_calls() - before <= 6UL * (5'000 / 150 + 1));
    nodes.run_until(11'000);
    for (std::size_t i = 0; i < nodes.size(); ++i)
    {
        REQUIRE(nodes.is_current(i));
    }
    nodes.run_until(14'000);
    auto const calls_at_rest = nodes.store_calls();
    nodes.run_until(24'000);
    // Without changes, each data centre makes two calls a second.
    REQUIRE(nodes.store_calls() - calls_at_rest <= 6UL * 10 + 6);
}
