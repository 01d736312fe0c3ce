// Tests of when the store is called.
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

item written(std::string key, std::uint64_t revision)
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

// A reader that has read the whole state as of 5 and watches.
store_reader watching()
{
    store_reader it({}, 1);
    it.handle(wake{}, at(0));
    it.handle(page_read{{written("a", 5)}, core::revision(5), false}, at(4));
    return it;
}

} // namespace

TEST_CASE("pages are put together as of the first one")
{
    store_reader it({}, 1);
    REQUIRE(find<read_page>(it.handle(wake{}, at(0)))->after_key.empty());
    auto const more =
        it.handle(page_read{{written("a", 2)}, core::revision(5), true}, at(4));
    REQUIRE(find<read_page>(more)->after_key == "a");
    auto const done = it.handle(
        page_read{{written("b", 7)}, core::revision(8), false}, at(8));
    auto const* taken = find<take_changes>(done);
    REQUIRE(taken);
    REQUIRE(taken->changes.as_of == core::revision(5));
    REQUIRE(taken->changes.items.size() == 2);
    REQUIRE(find<watch>(done)->after == core::revision(5));
}

// Guards against one call to the store for each change of a storm.
TEST_CASE("changes in quick succession are gathered")
{
    auto it = watching();
    auto const news = it.handle(
        watch_answered{{written("a", 6)}, core::revision(6)}, at(100));
    REQUIRE(find<take_changes>(news));
    REQUIRE_FALSE(find<watch>(news));
    REQUIRE(it.next_wake() == at(250));
    REQUIRE(find<watch>(it.handle(wake{}, at(250)))->after ==
            core::revision(6));
}

TEST_CASE("history that is gone is read anew")
{
    auto it = watching();
    REQUIRE(find<read_page>(it.handle(history_gone{}, at(100))));
}

// Guards against a watch of seconds that mistakes the store's return for
// silence (hunted day mix --seed 261579441749 of kayal-trendhost).
TEST_CASE("a store that has failed is asked to answer at once")
{
    auto it = watching();
    auto const lost = it.handle(call_failed{"reset"}, at(100));
    REQUIRE(find<report_lost>(lost));
    auto const due = it.next_wake();
    REQUIRE(due);
    auto const again = it.handle(wake{}, *due);
    REQUIRE(find<watch>(again)->wait == milliseconds(0));
    auto const back = it.handle(watch_answered{{}, core::revision(5)}, *due);
    REQUIRE(find<report_regained>(back));
    REQUIRE(find<watch>(back)->wait > milliseconds(0));
}

// Guards against a fleet that calls a failing store without a pause.
TEST_CASE("pauses after failures grow to a bound")
{
    auto it = watching();
    auto now = at(100);
    core::duration longest{};
    for (int i = 0; i < 20; ++i)
    {
        it.handle(call_failed{"reset"}, now);
        auto const due = it.next_wake();
        REQUIRE(due);
        REQUIRE(*due > now);
        longest = std::max(longest, *due - now);
        now = *due;
        it.handle(wake{}, now);
    }
    REQUIRE(longest >= milliseconds(400));
    REQUIRE(longest <= milliseconds(1'200));
}

TEST_CASE("a node that is not to read makes no calls")
{
    store_reader it({}, 1);
    it.handle(duty_changed{false}, at(0));
    REQUIRE(it.handle(wake{}, at(1)).empty());
    REQUIRE(find<read_page>(it.handle(duty_changed{true}, at(2))));
}
