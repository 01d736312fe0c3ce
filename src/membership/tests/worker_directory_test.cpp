// Tests of which entries are believed, and for how long.
#include <catch2/catch.hpp>

#include "membership/worker_directory.hpp"

using namespace yuccafall;
using namespace yuccafall::membership;
using core::milliseconds;

namespace {

core::instant at(long ms)
{
    return core::instant(std::chrono::hours(1)) + milliseconds(ms);
}

worker_entry make_entry(char const* id,
                        worker_state state = worker_state::ready)
{
    worker_entry it;
    it.id = core::upstream_id(id);
    it.service = core::service_name("s");
    it.address = {core::ip_address("127.0.0.1"), core::port_number(1)};
    it.slots = core::slot_count(6);
    it.state = state;
    return it;
}

entry_removed removed(char const* id)
{
    return {core::upstream_id(id)};
}

} // namespace

TEST_CASE("a ready worker gets work and a draining one does not")
{
    worker_directory it;
    REQUIRE(it.handle(entry_written{make_entry("i"), {}}, at(0)));
    REQUIRE(it.workers().size() == 1);
    REQUIRE_FALSE(it.handle(entry_written{make_entry("i"), {}}, at(1)));
    REQUIRE(it.handle(
        entry_written{make_entry("i", worker_state::draining), {}}, at(2)));
    REQUIRE(it.workers().empty());
    REQUIRE(it.known().size() == 1);
    it.handle(removed("i"), at(3));
    REQUIRE(it.known().empty());
}

// Guards against new work after the platform's bound to a worker that left
// without a word.
TEST_CASE("a removed entry counts for a moment only")
{
    worker_directory it;
    it.handle(entry_written{make_entry("i"), {}}, at(0));
    it.handle(removed("i"), at(100));
    REQUIRE(it.workers().size() == 1);
    REQUIRE(it.next_wake() == at(700));
    REQUIRE(it.handle(time_passed{}, at(700)));
    REQUIRE(it.workers().empty());
    REQUIRE_FALSE(it.next_wake());
}

// Guards against a fleet without workers after an outage of the store, in
// which all entries lapsed.
TEST_CASE("entries that lapsed with the store are believed until rewritten")
{
    worker_directory it;
    it.handle(entry_written{make_entry("i"), {}}, at(0));
    auto other = make_entry("j");
    other.address.port = core::port_number(2);
    it.handle(entry_written{other, {}}, at(0));
    it.handle(store_regained{}, at(5'000));
    it.handle(removed("i"), at(5'010));
    it.handle(removed("j"), at(5'010));
    it.handle(time_passed{}, at(6'900));
    REQUIRE(it.workers().size() == 2);
    it.handle(entry_written{make_entry("i"), {}}, at(7'000));
    REQUIRE(it.handle(time_passed{}, at(7'300)));
    REQUIRE(it.workers().size() == 1);
    REQUIRE(it.workers().front().id == core::upstream_id("i"));
}

// Guards against the belief counting from the removal, which exceeded the
// bound (hunted day hunt-2640-19 of kayal-trendhost).
TEST_CASE("the belief after an outage counts from the store's return")
{
    worker_directory it;
    it.handle(entry_written{make_entry("i"), {}}, at(0));
    it.handle(store_regained{}, at(5'000));
    it.handle(removed("i"), at(7'900));
    REQUIRE(it.next_wake() == at(8'500));
}

// Guards against calls to workers that a power loss has ended, whose entries
// stay for some seconds (kovacic-mesh trouble-2: 389 calls answered 421).
TEST_CASE("of two entries with one address the newer counts")
{
    worker_directory it;
    it.handle(entry_written{make_entry("i"), core::revision(4)}, at(0));
    it.handle(entry_written{make_entry("j"), core::revision(9)}, at(1));
    REQUIRE(it.workers().size() == 1);
    REQUIRE(it.workers().front().id == core::upstream_id("j"));
}

TEST_CASE("an entry that cannot be read neither names nor removes a worker")
{
    worker_directory it;
    it.handle(entry_written{make_entry("i"), {}}, at(0));
    REQUIRE_FALSE(it.handle(entry_unreadable{core::upstream_id("i")}, at(1)));
    REQUIRE(it.workers().size() == 1);
}
