// Tests the set of evacuated data centres, and that it follows the copy of the
// store.
#include <catch2/catch.hpp>

#include "membership/evacuations.hpp"
#include "replication/published_state.hpp"
#include "replication/tests/sample_items.hpp"

using namespace yuccafall;
using namespace yuccafall::membership;
using replication::change_set;
using replication::deleted_item;
using replication::make_changes;
using replication::published_state;
using replication::written_item;

namespace {

core::data_centre const lj_a("lj-a");
core::data_centre const lj_b("lj-b");

core::instant at(long ms)
{
    return core::instant(std::chrono::hours(1)) + core::milliseconds(ms);
}

// A node's copy of the store and what follows from it. The keys of the copy are
// the names of data centres.
struct node_copy
{
    published_state copy;
    evacuations evacuated;

    void apply(change_set const& changes)
    {
        for (auto const& it : copy.apply(changes).updates)
        {
            core::data_centre const name(it.key);
            if (it.deleted)
            {
                evacuated.handle(evacuation_deleted{name}, at(0));
                continue;
            }
            evacuated.handle(evacuation_written{name, it.revision}, at(0));
        }
    }
    // Gets what the other node's copy is ahead of this one.
    void pull(node_copy& from) { apply(from.copy.since(copy.as_of())); }
};

} // namespace

TEST_CASE("an evacuation holds until it is deleted")
{
    evacuations it;
    REQUIRE(it.handle(evacuation_written{lj_a, core::revision(5)}, at(0)));
    REQUIRE(it.handle(evacuation_written{lj_b, core::revision(6)}, at(1)));
    REQUIRE(it.data_centres() == std::set<core::data_centre>{lj_a, lj_b});
    // Writing the key again changes nothing but the revision.
    REQUIRE_FALSE(
        it.handle(evacuation_written{lj_a, core::revision(7)}, at(2)));
    REQUIRE(it.all().at(lj_a).revision == core::revision(7));
    REQUIRE(it.all().at(lj_a).learned_at == at(0));
    REQUIRE(it.handle(evacuation_deleted{lj_a}, at(3)));
    REQUIRE_FALSE(it.handle(evacuation_deleted{lj_a}, at(4)));
    REQUIRE_FALSE(it.contains(lj_a));
    REQUIRE(it.contains(lj_b));
}

// Guards against an evacuation that comes back from a stale copy after the
// operator has taken it back, or that a restarted node does not learn of.
TEST_CASE("a stale copy never restores an evacuation that was taken back")
{
    node_copy stale;
    stale.apply(make_changes(0, 5, {written_item("lj-a", 5)}));
    node_copy current;
    current.pull(stale);
    REQUIRE(current.evacuated.contains(lj_a));
    current.apply(make_changes(5, 6, {deleted_item("lj-a", 6)}));
    REQUIRE_FALSE(current.evacuated.contains(lj_a));
    current.pull(stale);
    current.apply(stale.copy.since({}));
    REQUIRE_FALSE(current.evacuated.contains(lj_a));

    // A node that restarts takes the stale copy first and then the current one.
    node_copy restarted;
    restarted.pull(stale);
    restarted.pull(current);
    REQUIRE_FALSE(restarted.evacuated.contains(lj_a));

    // It is set again, and a node that restarts learns of it from a peer.
    current.apply(make_changes(6, 9, {written_item("lj-a", 9)}));
    REQUIRE(current.evacuated.contains(lj_a));
    current.apply(stale.copy.since({}));
    REQUIRE(current.evacuated.all().at(lj_a).revision == core::revision(9));
    node_copy restarted_again;
    restarted_again.pull(current);
    REQUIRE(restarted_again.evacuated.contains(lj_a));

    // The store has discarded the deletion, so the whole state is read.
    restarted_again.apply(make_changes(0, 12, {written_item("lj-b", 12)}));
    restarted_again.pull(current);
    restarted_again.apply(current.copy.since({}));
    REQUIRE(restarted_again.evacuated.data_centres() ==
            std::set<core::data_centre>{lj_b});
    stale.pull(restarted_again);
    REQUIRE(stale.evacuated.data_centres() ==
            std::set<core::data_centre>{lj_b});
}
