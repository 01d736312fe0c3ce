// Tests which workers are eligible for requests, and for how long after their
// entries are removed.
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

// An outage in which entries expire.
constexpr milliseconds long_outage{4'000};

entry_removed removed(char const* id)
{
    return {core::upstream_id(id)};
}

} // namespace

TEST_CASE("a ready worker is eligible for requests and a draining one is not")
{
    worker_directory it;
    REQUIRE(it.handle(entry_written{make_entry("i"), {}}, at(0)));
    REQUIRE(it.eligible_workers().size() == 1);
    REQUIRE_FALSE(it.handle(entry_written{make_entry("i"), {}}, at(1)));
    REQUIRE(it.handle(
        entry_written{make_entry("i", worker_state::draining), {}}, at(2)));
    REQUIRE(it.eligible_workers().empty());
    REQUIRE(it.known_workers().size() == 1);
    it.handle(removed("i"), at(3));
    REQUIRE(it.known_workers().empty());
}

// Guards against requests to a worker that has left, later than the platform
// allows. It happens if the worker's entry was removed without a change to
// draining and the record never expires.
TEST_CASE("a worker stays eligible only briefly after its entry is removed")
{
    worker_directory it;
    it.handle(entry_written{make_entry("i"), {}}, at(0));
    it.handle(removed("i"), at(100));
    REQUIRE(it.eligible_workers().size() == 1);
    REQUIRE(it.next_timer() == at(700));
    REQUIRE(it.handle(timer_expired{}, at(700)));
    REQUIRE(it.eligible_workers().empty());
    REQUIRE_FALSE(it.next_timer());
}

// Guards against a mesh without eligible workers after an outage of the store.
// All entries expire during the outage, and live workers need some time to
// publish them again.
TEST_CASE("workers whose entries expired in an outage stay eligible until they "
          "can publish again")
{
    worker_directory it;
    it.handle(entry_written{make_entry("i"), {}}, at(0));
    auto other = make_entry("j");
    other.address.port = core::port_number(2);
    it.handle(entry_written{other, {}}, at(0));
    it.handle(store_regained{long_outage}, at(5'000));
    it.handle(removed("i"), at(5'010));
    it.handle(removed("j"), at(5'010));
    it.handle(timer_expired{}, at(6'900));
    REQUIRE(it.eligible_workers().size() == 2);
    it.handle(entry_written{make_entry("i"), {}}, at(7'000));
    REQUIRE(it.handle(timer_expired{}, at(7'300)));
    REQUIRE(it.eligible_workers().size() == 1);
    REQUIRE(it.eligible_workers().front().id == core::upstream_id("i"));
}

// Guards against a grace period that starts at the removal of the entry instead
// of the store's recovery. Workers that had left then got requests for longer
// than the platform allows (simulated day hunt-2640-19 of kayal-trendhost).
TEST_CASE("the grace period after an outage starts when the store recovers")
{
    worker_directory it;
    it.handle(entry_written{make_entry("i"), {}}, at(0));
    it.handle(store_regained{long_outage}, at(5'000));
    it.handle(removed("i"), at(7'900));
    REQUIRE(it.next_timer() == at(8'500));
}

// Guards against requests to a worker that has left, later than the platform
// allows: a watch that was cut counted as an outage of the store (review/5).
TEST_CASE("an outage too short to expire entries extends no grace period")
{
    worker_directory it;
    it.handle(entry_written{make_entry("i"), {}}, at(0));
    it.handle(store_regained{milliseconds(2'999)}, at(5'000));
    it.handle(removed("i"), at(5'100));
    REQUIRE(it.next_timer() == at(5'700));
}

// Guards against workers that are taken out although they live, where entries
// expire sooner than usual.
TEST_CASE("the shortest outage that counts follows from the heartbeat")
{
    directory_settings settings;
    settings.worker_heartbeat = milliseconds(500);
    worker_directory it(settings);
    it.handle(entry_written{make_entry("i"), {}}, at(0));
    it.handle(store_regained{milliseconds(1'000)}, at(5'000));
    it.handle(removed("i"), at(5'100));
    REQUIRE(it.next_timer() == at(7'300));
}

// Guards against calls to workers that a power loss has ended. Their entries
// stay in the store for some seconds, while new workers already listen on the
// same addresses (kovacic-mesh trouble-2: 389 calls were answered with 421).
TEST_CASE("of two entries with the same address only the newer one is used")
{
    worker_directory it;
    it.handle(entry_written{make_entry("i"), core::revision(4)}, at(0));
    it.handle(entry_written{make_entry("j"), core::revision(9)}, at(1));
    REQUIRE(it.eligible_workers().size() == 1);
    REQUIRE(it.eligible_workers().front().id == core::upstream_id("j"));
}

// Guards against an outage caused by entries of another writer: they hid the
// workers at the same addresses, so that nothing was served (review/3).
TEST_CASE("an entry of a service that is not named hides no worker")
{
    worker_directory it;
    it.handle(services_named{{core::service_name("s")}}, at(0));
    it.handle(entry_written{make_entry("i"), core::revision(4)}, at(0));
    auto foreign = make_entry("j");
    foreign.service = core::service_name("unknown");
    foreign.slots = core::slot_count(99);
    it.handle(entry_written{foreign, core::revision(9)}, at(1));
    REQUIRE(it.eligible_workers().size() == 1);
    REQUIRE(it.eligible_workers().front().id == core::upstream_id("i"));
    // The node beside the worker would take over the slots.
    REQUIRE(it.known_workers().size() == 1);
    // A later configuration may name the service.
    REQUIRE(it.handle(services_named{{core::service_name("s"),
                                      core::service_name("unknown")}},
                      at(2)));
    REQUIRE(it.eligible_workers().front().id == core::upstream_id("j"));
}

TEST_CASE("an entry that cannot be decoded neither adds nor removes a worker")
{
    worker_directory it;
    it.handle(entry_written{make_entry("i"), {}}, at(0));
    REQUIRE_FALSE(it.handle(entry_unreadable{core::upstream_id("i")}, at(1)));
    REQUIRE(it.eligible_workers().size() == 1);
}
