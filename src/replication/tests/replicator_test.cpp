// Tests of nodes that keep their copies of the store current: one by
// hand-written events, and fleets on a simulated network.
#include <algorithm>
#include <deque>
#include <functional>

#include <catch2/catch.hpp>
#include <fmt/format.h>
#include <rapidcheck/catch.h>

#include "replication/codec.hpp"
#include "replication/replicator.hpp"

using namespace yuccafall;
using namespace yuccafall::replication;
using core::milliseconds;

namespace {

core::instant at(long ms)
{
    return core::instant(std::chrono::hours(1)) + milliseconds(ms);
}

item written(std::string key, std::uint64_t revision)
{
    return {std::move(key), std::to_string(revision), core::revision(revision),
            false};
}

template <class Action>
std::vector<Action> all(std::vector<replicator_action> const& actions)
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

replicator make_follower(char const* data_centre = "a")
{
    replicator_settings settings;
    settings.own = core::data_centre(data_centre);
    return replicator(settings, 1);
}

digest held(std::uint64_t as_of, long confirmed_ago = 0,
            char const* data_centre = "a")
{
    return {core::revision(as_of), milliseconds(confirmed_ago),
            core::data_centre(data_centre)};
}

link_id const one(1);

} // namespace

TEST_CASE("each message survives its frame")
{
    message const messages[] = {
        held(7, 30),
        changes{{core::revision(3),
                 core::revision(9),
                 {written("a", 9), {"b", "", core::revision(8), true}},
                 {{"c", core::revision(7), core::revision(5), "frame"}}},
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

// Pattern "store down at the start": the peers that run have the state.
TEST_CASE("a starting node takes the state of a peer before it asks the store")
{
    auto it = make_follower();
    it.handle(started{}, at(0));
    it.handle(duty_assigned{false}, at(0));
    it.handle(link_opened{one}, at(5));
    auto const asked = all<send_message>(
        it.handle(message_received{one, held(9, 30)}, at(10)));
    REQUIRE(std::holds_alternative<pull>(asked.front().content));
    changes const whole{
        {core::revision(), core::revision(9), {written("a", 9)}, {}},
        milliseconds(20)};
    auto const taken = it.handle(message_received{one, whole}, at(15));
    REQUIRE(all<take_items>(taken).front().items.size() == 1);
    REQUIRE_FALSE(it.reads_store());
    REQUIRE(it.confirmed_ago(at(15)) == milliseconds(20));
}

// Pattern "all nodes start within a third of a second": the store turns calls
// over its rate away, and each is priced.
TEST_CASE("a starting fleet leaves the first read to its seeds")
{
    replicator_settings settings;
    settings.own = core::data_centre("a");
    settings.is_seed = true;
    replicator seed(settings, 1);
    REQUIRE(all<read_page>(seed.handle(started{}, at(0))).size() == 1);

    auto other = make_follower();
    other.handle(started{}, at(0));
    other.handle(link_opened{one}, at(5));
    // The seed has nothing yet either.
    other.handle(message_received{one, held(0)}, at(6));
    REQUIRE(all<read_page>(other.handle(clock_moved{}, at(500))).empty());
    auto const due = other.next_wake();
    REQUIRE(due);
    REQUIRE(*due <= at(750));
    REQUIRE(all<read_page>(other.handle(clock_moved{}, *due)).size() == 1);

    // Fed before the nodes are known, it does not read at all.
    auto fed = make_follower();
    fed.handle(started{}, at(0));
    fed.handle(link_opened{one}, at(5));
    changes const whole{
        {core::revision(), core::revision(9), {written("a", 9)}, {}},
        milliseconds(0)};
    fed.handle(message_received{one, whole}, at(30));
    fed.handle(clock_moved{}, at(800));
    REQUIRE_FALSE(fed.reads_store());

    // Without a peer nothing is waited for.
    auto alone = make_follower();
    alone.handle(started{}, at(0));
    REQUIRE(*alone.next_wake() <= at(225));
}

// Pattern "all nodes start within a third of a second": each is among the first
// of the list while the list is short.
TEST_CASE("a duty that is taken back at once costs no call")
{
    auto it = make_follower();
    it.handle(started{}, at(0));
    it.handle(link_opened{one}, at(5));
    changes const whole{
        {core::revision(), core::revision(9), {written("a", 9)}, {}},
        milliseconds(0)};
    it.handle(message_received{one, whole}, at(30));
    REQUIRE(all<watch>(it.handle(duty_assigned{true}, at(40))).empty());
    REQUIRE(all<watch>(it.handle(duty_assigned{false}, at(200))).empty());
    REQUIRE(all<watch>(it.handle(duty_assigned{true}, at(300))).empty());
    REQUIRE(*it.next_wake() == at(800));
    REQUIRE(all<watch>(it.handle(clock_moved{}, at(800))).size() == 1);
}

// Guards against a node that trusts a source which is cut off from the store.
TEST_CASE("a node whose sources cannot confirm what they hold reads the store")
{
    auto it = make_follower();
    it.handle(started{}, at(0));
    it.handle(duty_assigned{false}, at(0));
    it.handle(link_opened{one}, at(5));
    changes const whole{
        {core::revision(), core::revision(9), {written("a", 9)}, {}},
        milliseconds(0)};
    it.handle(message_received{one, whole}, at(10));
    it.handle(message_received{one, held(9, 0)}, at(1'000));
    // Alive, but without news of the store.
    it.handle(message_received{one, held(9, 1'300)}, at(2'300));
    auto const due = it.next_wake();
    REQUIRE(due == at(2'400));
    auto const actions = it.handle(clock_moved{}, at(2'400));
    REQUIRE(it.reads_store());
    REQUIRE(all<watch>(actions).front().after == core::revision(9));
    it.handle(message_received{one, held(9, 0)}, at(2'500));
    REQUIRE_FALSE(it.reads_store());
}

// Guards against whole configurations that cross data centres for nothing.
TEST_CASE("news are told to another data centre and sent when asked")
{
    auto it = make_follower();
    it.handle(started{}, at(0));
    it.handle(duty_assigned{true}, at(200));
    it.handle(link_opened{one}, at(200));
    it.handle(message_received{one, held(0, 0, "b")}, at(201));
    auto const news = all<send_message>(it.handle(
        page_read{{written("a", 9)}, core::revision(9), false}, at(210)));
    REQUIRE(news.size() == 1);
    REQUIRE(std::holds_alternative<digest>(news.front().content));
    auto const sent = all<send_message>(
        it.handle(message_received{one, pull{core::revision()}}, at(220)));
    REQUIRE(std::holds_alternative<changes>(sent.front().content));
}

TEST_CASE(
    "news from another data centre are asked for if none else brings them")
{
    auto it = make_follower("b");
    it.handle(started{}, at(0));
    it.handle(duty_assigned{true}, at(200));
    it.handle(page_read{{written("a", 9)}, core::revision(9), false}, at(210));
    it.handle(link_opened{one}, at(220));
    auto const waits = it.handle(message_received{one, held(12)}, at(230));
    REQUIRE(all<send_message>(waits).empty());
    auto const asks = it.handle(clock_moved{}, at(640));
    REQUIRE(
        std::holds_alternative<pull>(all<send_message>(asks).front().content));
}

namespace {

// Nodes with the real decisions, a store with a history, and links that can be
// cut. Time moves in steps of one event.
class fleet
{
public:
    fleet(std::size_t data_centres, std::size_t per_data_centre,
          std::uint64_t seed)
        : random_(seed)
    {
        for (std::size_t d = 0; d < data_centres; ++d)
        {
            for (std::size_t n = 0; n < per_data_centre; ++n)
            {
                node_place it;
                it.control.address =
                    core::ip_address(fmt::format("10.{}.0.{}", d, n + 1));
                it.control.port = core::port_number(1);
                it.data_centre = core::data_centre(fmt::format("dc-{}", d));
                places_.push_back(std::move(it));
            }
        }
        for (std::size_t i = 0; i < places_.size(); ++i)
        {
            replicator_settings settings;
            settings.own = places_[i].data_centre;
            nodes_.emplace_back(settings, seed + i);
            store_cut_.push_back(false);
            watches_.emplace_back();
            newest_.push_back(0);
            taken_.emplace_back();
        }
        write();
        for (std::size_t i = 0; i < nodes_.size(); ++i)
        {
            feed(i, started{});
            auto const around = neighbours_of(places_[i], places_);
            feed(i, duty_assigned{around.reads_store});
            for (std::size_t j = 0; j < nodes_.size(); ++j)
            {
                if (around.sources.count(places_[j].control) != 0)
                {
                    open(i, j);
                }
            }
        }
    }

    void write()
    {
        ++revision_;
        auto it =
            written(std::string(1, static_cast<char>('a' + random_.below(4))),
                    revision_);
        if (is_large(it.key))
        {
            it.value.append(large_size, 'x');
        }
        history_.push_back(it);
        newest_items_[it.key] = it.value;
        for (std::size_t i = 0; i < nodes_.size(); ++i)
        {
            answer_watch(i, false);
        }
    }

    void cut_store(std::size_t node, bool cut) { store_cut_[node] = cut; }

    // Plays all events up to the time.
    void run_until(long ms)
    {
        while (!events_.empty() && events_.begin()->first <= at(ms))
        {
            auto const it = events_.begin();
            now_ = it->first;
            auto const happens = std::move(it->second);
            events_.erase(it);
            happens();
        }
        now_ = at(ms);
    }

    std::size_t size() const { return nodes_.size(); }
    std::uint64_t revision() const { return revision_; }
    std::uint64_t held(std::size_t node) const
    {
        return nodes_[node].state().as_of().value();
    }
    std::uint64_t calls() const { return calls_; }
    // Whether the node has been given the newest value of each key.
    bool is_current(std::size_t node) const
    {
        return taken_[node] == newest_items_;
    }

private:
    static constexpr std::size_t large_size = 10'000;
    // One of the keys has values that pass as patches.
    static bool is_large(std::string const& key) { return key == "a"; }

    using work = std::function<void()>;

    void later(milliseconds delay, work it)
    {
        events_.emplace(now_ + delay, std::move(it));
    }

    void open(std::size_t a, std::size_t b)
    {
        link_id const link(++last_link_);
        ends_[{a, link}] = b;
        ends_[{b, link}] = a;
        feed(a, link_opened{link});
        feed(b, link_opened{link});
    }

    void feed(std::size_t node, replicator_event const& it)
    {
        auto const actions = nodes_[node].handle(it, now_);
        for (auto const& a : actions)
        {
            std::visit([&](auto const& what) { act(node, what); }, a);
        }
        auto const held_now = held(node);
        RC_ASSERT(held_now >= newest_[node]);
        newest_[node] = held_now;
        if (auto const due = nodes_[node].next_wake())
        {
            auto const delay =
                std::max<core::duration>(*due - now_, milliseconds(1));
            if (woken_.emplace(node, now_ + delay).second)
            {
                events_.emplace(now_ + delay,
                                [this, node, when = now_ + delay] {
                                    woken_.erase({node, when});
                                    feed(node, clock_moved{});
                                });
            }
        }
    }

    void act(std::size_t node, send_message const& it)
    {
        auto const to = ends_.at({node, it.link});
        later(milliseconds(1 + static_cast<long>(random_.below(8))),
              [this, to, it] {
                  feed(to, message_received{it.link, it.content});
              });
    }
    void act(std::size_t node, read_page const&)
    {
        ++calls_;
        later(milliseconds(4), [this, node] {
            if (store_cut_[node])
            {
                feed(node, call_failed{"cut"});
                return;
            }
            std::map<std::string, item> newest;
            for (auto const& i : history_)
            {
                newest[i.key] = i;
            }
            page_read page;
            for (auto const& [key, i] : newest)
            {
                page.items.push_back(i);
            }
            page.as_of = core::revision(revision_);
            feed(node, page);
        });
    }
    void act(std::size_t node, watch const& it)
    {
        ++calls_;
        watches_[node] = it.after;
        auto const serial = ++watch_serial_;
        serials_[node] = serial;
        answer_watch(node, false);
        later(it.wait + milliseconds(5), [this, node, serial] {
            if (serials_[node] == serial)
            {
                answer_watch(node, true);
            }
        });
    }
    void act(std::size_t node, take_items const& it)
    {
        for (auto const& i : it.items)
        {
            taken_[node][i.key] = i.value;
        }
    }
    void act(std::size_t, report_lost const&) {}
    void act(std::size_t, report_regained const&) {}

    void answer_watch(std::size_t node, bool waited)
    {
        if (!watches_[node])
        {
            return;
        }
        auto const after = *watches_[node];
        std::vector<item> news;
        for (auto const& i : history_)
        {
            if (i.revision > after)
            {
                news.push_back(i);
            }
        }
        if (store_cut_[node] ? !waited : (news.empty() && !waited))
        {
            return;
        }
        watches_[node].reset();
        later(milliseconds(4),
              [this, node, news, as_of = core::revision(revision_)] {
                  if (store_cut_[node])
                  {
                      feed(node, call_failed{"cut"});
                      return;
                  }
                  feed(node, watch_answered{news, as_of});
              });
    }

    core::random_source random_;
    std::vector<node_place> places_;
    std::vector<replicator> nodes_;
    std::vector<bool> store_cut_;
    std::vector<std::optional<core::revision>> watches_;
    std::map<std::size_t, std::uint64_t> serials_;
    std::vector<std::uint64_t> newest_;
    std::map<std::pair<std::size_t, link_id>, std::size_t> ends_;
    std::multimap<core::instant, work> events_;
    std::set<std::pair<std::size_t, core::instant>> woken_;
    std::vector<item> history_;
    std::map<std::string, std::string> newest_items_;
    // What each node has been given.
    std::vector<std::map<std::string, std::string>> taken_;
    std::uint64_t revision_ = 0;
    std::uint64_t last_link_ = 0;
    std::uint64_t watch_serial_ = 0;
    std::uint64_t calls_ = 0;
    core::instant now_ = at(0);
};

} // namespace

// Pattern "a change at rest": in force everywhere well within two seconds.
TEST_CASE("a change reaches all nodes of a calm fleet within half a second")
{
    rc::prop("seeds", [](std::uint16_t seed) {
        fleet f(3, 5, seed);
        f.run_until(5'000);
        f.write();
        f.run_until(5'500);
        for (std::size_t i = 0; i < f.size(); ++i)
        {
            RC_ASSERT(f.held(i) == f.revision());
            RC_ASSERT(f.is_current(i));
        }
    });
}

// Pattern "some machines are cut off from the store": those that reach it are
// current within two seconds of a change, whoever their sources are.
TEST_CASE("a node that reaches the store is current whoever is cut off")
{
    rc::prop("cuts", [](std::uint16_t seed, std::uint16_t cut_bits) {
        fleet f(3, 5, seed);
        f.run_until(5'000);
        auto const is_cut = [&](std::size_t i) {
            return (cut_bits >> (i % 16) & 1) != 0;
        };
        for (std::size_t i = 0; i < f.size(); ++i)
        {
            f.cut_store(i, is_cut(i));
        }
        f.write();
        f.run_until(7'000);
        for (std::size_t i = 0; i < f.size(); ++i)
        {
            RC_ASSERT(is_cut(i) || f.held(i) == f.revision());
        }
        f.run_until(9'000);
        bool const any_reads = cut_bits != 0xffff;
        for (std::size_t i = 0; i < f.size() && any_reads; ++i)
        {
            // All are fed by those that reach the store.
            RC_ASSERT(f.held(i) == f.revision() || is_cut(i));
        }
    });
}

// Pattern "storm of changes": the store is called by the readers alone, and
// changes in quick succession share a call.
TEST_CASE("calls to the store do not grow with the changes")
{
    fleet f(3, 5, 1);
    f.run_until(5'000);
    auto const before = f.calls();
    for (long ms = 5'000; ms < 10'000; ms += 50)
    {
        f.write();
        f.run_until(ms + 50);
    }
    // Six readers, at most one call in 150 ms each.
    REQUIRE(f.calls() - before <= 6UL * (5'000 / 150 + 1));
    f.run_until(11'000);
    for (std::size_t i = 0; i < f.size(); ++i)
    {
        REQUIRE(f.is_current(i));
    }
    f.run_until(14'000);
    auto const calm = f.calls();
    f.run_until(24'000);
    // At rest each data centre makes two calls a second.
    REQUIRE(f.calls() - calm <= 6UL * 10 + 6);
}
