// Tests of copies of the store and of how they are brought together.
#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include "replication/published_state.hpp"

using namespace yuccafall;
using namespace yuccafall::replication;

namespace {

item written(std::string key, std::uint64_t revision)
{
    return {std::move(key), std::to_string(revision), core::revision(revision),
            false};
}

item gone(std::string key, std::uint64_t revision)
{
    return {std::move(key), {}, core::revision(revision), true};
}

change_set changes(std::uint64_t base, std::uint64_t as_of,
                   std::vector<item> items)
{
    return {core::revision(base), core::revision(as_of), std::move(items)};
}

std::map<std::string, std::string> content(published_state const& it)
{
    std::map<std::string, std::string> out;
    for (auto const& i : it.since(core::revision()).items)
    {
        out[i.key] = i.value;
    }
    return out;
}

} // namespace

TEST_CASE("a whole state removes what it does not name")
{
    published_state it;
    it.apply(changes(0, 5, {written("a", 3), written("b", 5)}));
    auto const news = it.apply(changes(0, 9, {written("a", 3)}));
    REQUIRE(news);
    REQUIRE(news->size() == 1);
    REQUIRE(news->front().key == "b");
    REQUIRE(news->front().deleted);
}

// Guards against a page that was read before a write and arrives after it.
TEST_CASE("an older item never replaces a newer one")
{
    published_state it;
    it.apply(changes(0, 5, {written("a", 5)}));
    REQUIRE(it.apply(changes(0, 4, {written("a", 3)}))->empty());
    REQUIRE(content(it).at("a") == "5");
    REQUIRE(it.as_of() == core::revision(5));
}

// Guards against a state that misses changes but counts as current.
TEST_CASE("changes behind a gap are not applied")
{
    published_state it;
    it.apply(changes(0, 5, {written("a", 5)}));
    REQUIRE_FALSE(it.apply(changes(7, 9, {written("b", 9)})));
    REQUIRE(it.as_of() == core::revision(5));
}

// Guards against an entry that comes back from a peer which has not heard of
// its deletion.
TEST_CASE("a deletion outlives an older copy of the item")
{
    published_state it;
    it.apply(changes(0, 5, {written("a", 5)}));
    it.apply(changes(5, 6, {gone("a", 6)}));
    it.apply(changes(0, 5, {written("a", 5)}));
    REQUIRE(content(it).empty());
}

TEST_CASE("two copies agree after either has sent the other what it lacks")
{
    rc::prop("histories", [](std::vector<std::uint8_t> const& script,
                             std::uint8_t cut_at) {
        published_state ahead;
        published_state behind;
        std::uint64_t revision = 0;
        auto const cut = script.empty() ? 0 : cut_at % script.size();
        for (std::size_t i = 0; i < script.size(); ++i)
        {
            ++revision;
            auto const key =
                std::string(1, static_cast<char>('a' + script[i] % 5));
            auto const it = script[i] % 3 == 0 ? gone(key, revision)
                                               : written(key, revision);
            auto const one =
                changes(revision == 1 ? 0 : revision - 1, revision, {it});
            ahead.apply(one);
            if (i <= cut)
            {
                behind.apply(one);
            }
        }
        behind.apply(ahead.since(behind.as_of()));
        RC_ASSERT(content(behind) == content(ahead));
        RC_ASSERT(behind.as_of() == ahead.as_of());
    });
}
