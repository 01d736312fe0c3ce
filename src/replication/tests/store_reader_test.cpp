// Tests when the store reader calls the store.
#include <catch2/catch.hpp>

#include "replication/store_reader.hpp"

using namespace yuccafall;
using namespace yuccafall::replication;
using core::milliseconds;

namespace {

core::instant at(long ms)
{
    return core::instant(std::chrono::hours(1)) + milliseconds(ms);
}

store_item written_item(std::string key, std::uint64_t revision)
{
    return {std::move(key), "v", core::revision(revision), false};
}

template <class Action>
Action const* find(std::vector<reader_action> const& actions)
{
    for (auto const& it : actions)
    {
        if (auto const* found = std::get_if<Action>(&it))
        {
            return found;
        }
    }
    return nullptr;
}

// Returns a reader that has read the whole state as of revision 5 and has
// started a watch.
store_reader make_watching_reader()
{
    store_reader it({}, 1);
    it.handle(reader_timer_expired{}, at(0));
    it.handle(page_read{{written_item("a", 5)}, core::revision(5), false},
              at(4));
    return it;
}

} // namespace

// Guards against an item that comes back: it was written after the first page
// and deleted before its own page was read, so that no copy learned of its
// deletion.
TEST_CASE("pages of several revisions are used with what changed between them")
{
    store_reader it({}, 1);
    REQUIRE(find<read_page>(it.handle(reader_timer_expired{}, at(0)))
                ->after_key.empty());
    auto const more = it.handle(
        page_read{{written_item("a", 2)}, core::revision(5), true}, at(4));
    REQUIRE(find<read_page>(more)->after_key == "a");
    auto const pages = it.handle(
        page_read{{written_item("b", 7)}, core::revision(8), false}, at(8));
    REQUIRE_FALSE(find<apply_changes>(pages));
    REQUIRE(find<watch>(pages)->after == core::revision(5));

    // A store that answers from an older copy is asked again.
    auto const early = it.handle(watch_answered{{}, core::revision(6)}, at(10));
    REQUIRE_FALSE(find<apply_changes>(early));
    REQUIRE(find<watch>(early)->after == core::revision(6));

    store_item deleted{"a", {}, core::revision(9), true};
    store_item gone{"c", {}, core::revision(8), true};
    auto const done = it.handle(watch_answered{{written_item("b", 7), gone,
                                                deleted, written_item("d", 9)},
                                               core::revision(9)},
                                at(12));
    auto const* applied = find<apply_changes>(done);
    REQUIRE(applied);
    REQUIRE(applied->changes.base == core::revision());
    REQUIRE(applied->changes.as_of == core::revision(9));
    REQUIRE(applied->changes.items.size() == 2);
    REQUIRE(applied->changes.items[0].key == "b");
    REQUIRE(applied->changes.items[1].key == "d");
    REQUIRE(find<watch>(done)->after == core::revision(9));
}

// Guards against a second call for a read during which nothing changed, and
// against a node without any state while the store keeps too little history.
TEST_CASE("pages are used without a watch if none is needed or possible")
{
    store_reader it({}, 1);
    it.handle(reader_timer_expired{}, at(0));
    it.handle(page_read{{written_item("a", 2)}, core::revision(5), true},
              at(4));
    SECTION("one revision")
    {
        auto const done = it.handle(
            page_read{{written_item("b", 3)}, core::revision(5), false}, at(8));
        REQUIRE(find<apply_changes>(done)->changes.as_of == core::revision(5));
        REQUIRE(find<watch>(done)->after == core::revision(5));
    }
    SECTION("discarded history")
    {
        it.handle(page_read{{written_item("b", 7)}, core::revision(8), false},
                  at(8));
        auto const done = it.handle(history_discarded{}, at(10));
        REQUIRE(find<apply_changes>(done)->changes.as_of == core::revision(5));
        REQUIRE_FALSE(find<read_page>(done));
        REQUIRE(it.next_timer() == at(160));
        auto const again = it.handle(reader_timer_expired{}, at(160));
        REQUIRE(find<read_page>(again)->after_key.empty());
    }
}

// Guards against a node that gets no state from a store whose watches fail now
// and then: the pages were read again after each failed watch.
TEST_CASE("complete pages are kept if the watch that completes them fails")
{
    store_reader it({}, 1);
    it.handle(reader_timer_expired{}, at(0));
    it.handle(page_read{{written_item("a", 2)}, core::revision(5), true},
              at(4));
    it.handle(page_read{{written_item("b", 7)}, core::revision(8), false},
              at(8));
    it.handle(call_failed{}, at(10));
    auto const again = it.handle(reader_timer_expired{}, at(2'000));
    REQUIRE(find<watch>(again)->after == core::revision(5));
    REQUIRE(find<watch>(again)->wait == milliseconds(0));
    auto const done = it.handle(
        watch_answered{{written_item("b", 7)}, core::revision(8)}, at(2'004));
    REQUIRE(find<apply_changes>(done)->changes.as_of == core::revision(8));
    REQUIRE_FALSE(it.is_reading_whole());
}

// Guards against a page of an older copy of the store that counts as current:
// what had changed between the two copies was never read.
TEST_CASE("a page that is older than the first one is completed as well")
{
    store_reader it({}, 1);
    it.handle(reader_timer_expired{}, at(0));
    it.handle(page_read{{written_item("a", 2)}, core::revision(5), true},
              at(4));
    auto const pages = it.handle(
        page_read{{written_item("b", 1)}, core::revision(3), false}, at(8));
    REQUIRE_FALSE(find<apply_changes>(pages));
    REQUIRE(it.is_reading_whole());
    REQUIRE(find<watch>(pages)->after == core::revision(3));
}

// Guards against one store call for each change in a burst of changes.
TEST_CASE("changes in quick succession are read with one call")
{
    auto it = make_watching_reader();
    auto const updates = it.handle(
        watch_answered{{written_item("a", 6)}, core::revision(6)}, at(100));
    REQUIRE(find<apply_changes>(updates));
    REQUIRE_FALSE(find<watch>(updates));
    REQUIRE(it.next_timer() == at(250));
    REQUIRE(find<watch>(it.handle(reader_timer_expired{}, at(250)))->after ==
            core::revision(6));
}

TEST_CASE(
    "the whole state is read again if the store has discarded the history")
{
    auto it = make_watching_reader();
    REQUIRE(find<read_page>(it.handle(history_discarded{}, at(100))));
}

// Guards against a reader that repeats a watch whose response it can never
// accept: the history holds every version of a large value and only grows.
TEST_CASE("the whole state is read if the history is too large")
{
    auto it = make_watching_reader();
    REQUIRE(find<read_page>(it.handle(history_too_large{}, at(100))));
}

// Guards against a recovery that is noticed seconds late: the first watch after
// a failure would be held open by the store, which looks like a store that does
// not respond (found in day mix --seed 261579441749 of kayal-trendhost).
TEST_CASE("the first watch after a failed call requests an immediate response")
{
    auto it = make_watching_reader();
    auto const lost = it.handle(call_failed{"reset"}, at(100));
    REQUIRE(find<report_store_lost>(lost));
    auto const due = it.next_timer();
    REQUIRE(due);
    auto const again = it.handle(reader_timer_expired{}, *due);
    REQUIRE(find<watch>(again)->wait == milliseconds(0));
    auto const back = it.handle(watch_answered{{}, core::revision(5)}, *due);
    REQUIRE(find<report_store_regained>(back));
    REQUIRE(find<watch>(back)->wait > milliseconds(0));
}

// Guards against nodes that retry calls to a failing store without a delay.
TEST_CASE("the backoff after failed calls grows up to a limit")
{
    auto it = make_watching_reader();
    auto now = at(100);
    core::duration longest{};
    for (int i = 0; i < 20; ++i)
    {
        it.handle(call_failed{"reset"}, now);
        auto const due = it.next_timer();
        REQUIRE(due);
        REQUIRE(*due > now);
        longest = std::max(longest, *due - now);
        now = *due;
        it.handle(reader_timer_expired{}, now);
    }
    REQUIRE(longest >= milliseconds(400));
    REQUIRE(longest <= milliseconds(1'200));
}

TEST_CASE("a reader that is turned off makes no store calls")
{
    store_reader it({}, 1);
    it.handle(reading_toggled{false}, at(0));
    REQUIRE(it.handle(reader_timer_expired{}, at(1)).empty());
    REQUIRE(find<read_page>(it.handle(reading_toggled{true}, at(2))));
}
