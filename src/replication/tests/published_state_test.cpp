// Tests of copies of the store and of how they are brought together.
#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include "replication/compression.hpp"
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
    return {core::revision(base), core::revision(as_of), std::move(items), {}};
}

std::map<std::string, std::string> content(published_state& it)
{
    std::map<std::string, std::string> out;
    auto const whole = it.since(core::revision());
    for (auto const& i : whole.items)
    {
        out[i.key] = i.value;
    }
    for (auto const& i : whole.compressed)
    {
        out[i.key] = decompress(i.frame, {}).value();
    }
    return out;
}

// A table of many rows that differs in one of them for each revision.
item large(std::string key, std::uint64_t revision)
{
    std::string value;
    for (int row = 0; row < 1'200; ++row)
    {
        auto const name = row * 2'654'435'761UL % 1'000'000;
        value += "{\"name\":\"" + std::to_string(name) +
                 "\",\"version\":" + std::to_string(row == 700 ? revision : 0) +
                 "}";
    }
    return {std::move(key), std::move(value), core::revision(revision), false};
}

std::size_t bytes_of(change_set const& it)
{
    std::size_t n = 0;
    for (auto const& i : it.items)
    {
        n += i.value.size();
    }
    for (auto const& i : it.compressed)
    {
        n += i.frame.size();
    }
    return n;
}

} // namespace

TEST_CASE("a whole state removes what it does not name")
{
    published_state it;
    it.apply(changes(0, 5, {written("a", 3), written("b", 5)}));
    auto const news = it.apply(changes(0, 9, {written("a", 3)}));
    REQUIRE(news.complete);
    REQUIRE(news.news.size() == 1);
    REQUIRE(news.news.front().key == "b");
    REQUIRE(news.news.front().deleted);
}

// Guards against a page that was read before a write and arrives after it.
TEST_CASE("an older item never replaces a newer one")
{
    published_state it;
    it.apply(changes(0, 5, {written("a", 5)}));
    REQUIRE(it.apply(changes(0, 4, {written("a", 3)})).news.empty());
    REQUIRE(content(it).at("a") == "5");
    REQUIRE(it.as_of() == core::revision(5));
}

// Guards against a state that misses changes but counts as current.
TEST_CASE("changes behind a gap are not applied")
{
    published_state it;
    it.apply(changes(0, 5, {written("a", 5)}));
    REQUIRE_FALSE(it.apply(changes(7, 9, {written("b", 9)})).complete);
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
            auto const it = script[i] % 3 == 0   ? gone(key, revision)
                            : script[i] % 3 == 1 ? large(key, revision)
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

// Pattern "large configuration over narrow links": 1,400 routes, a change of
// one, and a source that tells sixteen others.
TEST_CASE("a change of one row of a large value passes as a patch")
{
    published_state ahead;
    published_state behind;
    ahead.apply(changes(0, 1, {large("table", 1)}));
    behind.apply(ahead.since(core::revision()));
    ahead.apply(changes(1, 2, {large("table", 2)}));
    ahead.apply(changes(2, 3, {large("table", 3)}));
    auto const sent = ahead.since(behind.as_of());
    REQUIRE(bytes_of(sent) * 50 < large("table", 3).value.size());
    auto const merged = behind.apply(sent);
    REQUIRE(merged.complete);
    REQUIRE(merged.news.size() == 1);
    REQUIRE(merged.news.front().value == large("table", 3).value);
    // What came as a patch is passed on as one.
    published_state last;
    last.apply(changes(0, 2, {large("table", 2)}));
    REQUIRE(last.apply(behind.since(core::revision(2))).complete);
    REQUIRE(content(last) == content(ahead));
}

// Guards against a patch that is applied to another value than it was made of.
TEST_CASE("a patch of a value that is not held asks for the whole")
{
    published_state ahead;
    ahead.apply(changes(0, 4, {large("table", 4)}));
    ahead.apply(changes(4, 5, {large("table", 5)}));
    // Holds a version that the other one has skipped.
    published_state behind;
    behind.apply(changes(0, 3, {large("table", 2)}));
    auto skipping = ahead.since(core::revision(4));
    skipping.base = core::revision(3);
    REQUIRE_FALSE(behind.apply(skipping).complete);
    REQUIRE(behind.as_of() == core::revision(3));
    REQUIRE(content(behind).at("table") == large("table", 2).value);
    REQUIRE(behind.apply(ahead.since(core::revision())).complete);
    REQUIRE(content(behind) == content(ahead));
    // A patch of a key that is not known at all leaves no trace.
    published_state empty;
    REQUIRE_FALSE(
        empty
            .apply(
                {core::revision(), core::revision(5), {}, skipping.compressed})
            .complete);
    REQUIRE(content(empty).empty());
}

// Guards against memory without bound and against garbage taken for a value.
TEST_CASE("a frame that is no compressed value is refused")
{
    auto const value = large("table", 1).value;
    auto const frame = compress(value, {}).value();
    REQUIRE(decompress(frame, {}).value() == value);
    REQUIRE_FALSE(decompress("nonsense", {}));
    REQUIRE_FALSE(decompress(frame.substr(0, frame.size() / 2), {}));
    auto const patch = compress(large("table", 2).value, value).value();
    REQUIRE_FALSE(decompress(patch, large("table", 9).value.substr(1)));
}
