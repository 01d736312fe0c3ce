// Tests which links wait until their changes may be sent, and in which order.
#include <memory>

#include <catch2/catch.hpp>

#include "node/deferred_changes.hpp"

using namespace yuccafall;
using namespace yuccafall::node;
using core::byte_count;
using core::revision;
using replication::link_id;

namespace {

constexpr core::instant now{};
constexpr byte_count limit(1'000);
constexpr byte_count above_limit(1'300);

struct links_of_one_node
{
    std::shared_ptr<core::memory_part> memory =
        std::make_shared<core::memory_part>(limit);
    deferred_changes deferred{memory};
    core::held_memory sent{memory};

    bool admit(std::uint64_t link, byte_count size)
    {
        return deferred.admit({link_id(link), revision(), size}, now);
    }
    // Returns the link whose turn it is, or 0 if there is none.
    std::uint64_t take_next()
    {
        auto const it = deferred.take_next(now);
        return it ? it->link.value() : 0;
    }
};

} // namespace

// Guards against a frame above the limit that waits for ever while shorter ones
// are sent past it.
TEST_CASE("links wait for a frame above the limit and take turns")
{
    links_of_one_node it;
    REQUIRE(it.admit(1, above_limit));
    it.sent.resize(above_limit);
    REQUIRE_FALSE(it.admit(2, above_limit));
    REQUIRE_FALSE(it.admit(3, byte_count(100)));
    REQUIRE(it.take_next() == 0);
    it.sent.resize(byte_count(0));
    REQUIRE_FALSE(it.admit(4, byte_count(100)));
    REQUIRE(it.take_next() == 2);
    REQUIRE(it.admit(2, above_limit));
    it.sent.resize(above_limit);
    REQUIRE(it.take_next() == 0);
    it.sent.resize(byte_count(0));
    REQUIRE(it.take_next() == 3);
    REQUIRE(it.take_next() == 4);
    REQUIRE(it.take_next() == 0);
    REQUIRE(it.admit(5, byte_count(100)));
}

// Guards against a link that loses its turn because its changes have grown
// while it waited.
TEST_CASE("a link whose frame has grown keeps its place")
{
    links_of_one_node it;
    it.sent.resize(byte_count(300));
    REQUIRE_FALSE(it.admit(1, above_limit));
    REQUIRE_FALSE(it.admit(2, byte_count(600)));
    it.deferred.remove(link_id(1));
    REQUIRE(it.take_next() == 2);
    REQUIRE_FALSE(it.admit(2, above_limit));
    REQUIRE_FALSE(it.admit(3, byte_count(100)));
    REQUIRE(it.deferred.needed() == above_limit);
    it.sent.resize(byte_count(0));
    REQUIRE(it.take_next() == 2);
}

// Guards against a whole state that is sent to a node which has got it from
// another one while it waited.
TEST_CASE("a link that waits gets what its node has stated to lack")
{
    links_of_one_node it;
    it.sent.resize(byte_count(300));
    REQUIRE_FALSE(it.admit(1, above_limit));
    it.deferred.set_base(link_id(1), revision(7));
    it.deferred.set_base(link_id(2), revision(8));
    REQUIRE_FALSE(it.deferred.is_waiting(link_id(2)));
    it.sent.resize(byte_count(0));
    auto const next = it.deferred.take_next(now);
    REQUIRE(next);
    REQUIRE(next->base == revision(7));
    REQUIRE_FALSE(it.deferred.is_waiting(link_id(1)));
}

// Guards against changes that wait although no frame is above the limit. Nodes
// then get them at once, and the connection to the slowest one makes room.
TEST_CASE("changes within the limit do not wait for each other")
{
    links_of_one_node it;
    it.sent.resize(byte_count(900));
    REQUIRE(it.admit(1, byte_count(600)));
    REQUIRE_FALSE(it.deferred.needed());
}
