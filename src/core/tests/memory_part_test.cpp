// Tests the limit of a part and the choice of the holder to end.
#include <vector>

#include <catch2/catch.hpp>

#include "core/memory_part.hpp"

using namespace yuccafall::core;

namespace {

instant at(long ms)
{
    return instant(std::chrono::hours(1)) + milliseconds(ms);
}

// A reader whose data is released when its transfer is ended.
struct reader
{
    reader(std::shared_ptr<memory_part> const& part, byte_count size,
           byte_count delivered, instant since)
        : memory(part)
    {
        memory.resize(size);
        memory.set_holder({[size, delivered, since] {
                               return transfer_progress{
                                   delivered,
                                   byte_count(size.value() - delivered.value()),
                                   since};
                           },
                           [this] {
                               ended = true;
                               memory.release();
                           }});
    }

    held_memory memory;
    bool ended = false;
};

constexpr byte_count megabyte{1'000'000};

std::shared_ptr<memory_part> make_part(std::uint64_t megabytes)
{
    return std::make_shared<memory_part>(
        byte_count(megabytes * megabyte.value()));
}

} // namespace

// Guards against bytes that stay counted after their holder is gone, which
// would use up the part for good.
TEST_CASE("memory counts in its part until it is released")
{
    auto const part = make_part(2);
    {
        held_memory first(part);
        first.resize(megabyte);
        held_memory second(part);
        second.resize(megabyte);
        REQUIRE(part->used() == byte_count(2'000'000));
        REQUIRE(part->has_room(byte_count(0)));
        REQUIRE_FALSE(part->has_room(byte_count(1)));
        second.resize(byte_count(10));
        REQUIRE(part->used() == byte_count(1'000'010));
        second.set_part(make_part(1));
        REQUIRE(part->used() == megabyte);
    }
    REQUIRE(part->used() == byte_count(0));
    held_memory without_part;
    without_part.resize(megabyte);
    REQUIRE(without_part.size() == megabyte);
}

// Guards against ending the oldest transfer, or the largest one, in place of
// the one that will hold its memory for longest.
TEST_CASE("the holder whose reader needs longest for the rest is ended first")
{
    auto const part = make_part(10);
    reader old_and_fast(part, byte_count(4'000'000), byte_count(3'500'000),
                        at(0));
    reader small_and_slow(part, byte_count(100'000), byte_count(20'000), at(0));
    reader unread(part, byte_count(3'000'000), byte_count(0), at(5'000));
    REQUIRE(part->make_room(byte_count(4'000'000),
                            memory_part::eviction::slow_holders, at(10'000)));
    REQUIRE(unread.ended);
    REQUIRE_FALSE(old_and_fast.ended);
    REQUIRE_FALSE(small_and_slow.ended);
    REQUIRE(part->ended() == 1);
}

// Guards against a full part that ends readers which keep up.
TEST_CASE("readers that keep up and those that have just begun are not slow")
{
    auto const part = make_part(4);
    reader fresh(part, byte_count(2'000'000), byte_count(0), at(9'500));
    reader steady(part, byte_count(2'000'000), byte_count(500'000), at(0));
    auto const now = at(10'000);
    REQUIRE_FALSE(
        part->make_room(megabyte, memory_part::eviction::slow_holders, now));
    REQUIRE_FALSE(fresh.ended);
    REQUIRE_FALSE(steady.ended);
    REQUIRE(part->make_room(byte_count(4'000'000),
                            memory_part::eviction::all_holders, now));
    REQUIRE(fresh.ended);
    REQUIRE(steady.ended);
}

// Guards against an endless loop when the needed room exceeds the limit or the
// memory belongs to nobody who can be ended.
TEST_CASE("a part that cannot make room says so")
{
    auto const part = make_part(1);
    REQUIRE_FALSE(part->make_room(byte_count(1'000'001),
                                  memory_part::eviction::all_holders, at(0)));
    held_memory fixed(part);
    fixed.resize(megabyte);
    REQUIRE_FALSE(part->make_room(byte_count(1),
                                  memory_part::eviction::all_holders, at(0)));
}

// Guards against data that waits for ever because the object that was notified
// before it did not use the room.
TEST_CASE("all who would have room are notified when memory is released")
{
    auto const part = make_part(3);
    held_memory first(part);
    first.resize(byte_count(2'000'000));
    held_memory second(part);
    second.resize(megabyte);
    held_memory small(part);
    held_memory large(part);
    held_memory stopped(part);
    int small_notified = 0;
    int large_notified = 0;
    small.wait_for_room(megabyte, [&] { ++small_notified; });
    large.wait_for_room(byte_count(4'000'000), [&] { ++large_notified; });
    stopped.wait_for_room(megabyte, [] { FAIL("it does not wait any more"); });
    stopped.stop_waiting();
    REQUIRE_FALSE(part->can_admit(megabyte));
    second.release();
    REQUIRE(small_notified == 1);
    REQUIRE(large_notified == 0);
    // What never fits is admitted while nothing else is held.
    first.release();
    REQUIRE(small_notified == 1);
    REQUIRE(large_notified == 1);
}

// Guards against holders that wait for each other after the last one that did
// not wait has released its memory.
TEST_CASE("one of those that wait is notified when none of them can go on")
{
    auto const part = make_part(3);
    held_memory first(part);
    first.resize(byte_count(3'000'000));
    held_memory second(part);
    second.resize(megabyte);
    int notified = 0;
    first.wait_for_room(megabyte, [&] { ++notified; });
    REQUIRE_FALSE(part->all_wait());
    second.release();
    REQUIRE(notified == 1);
}

// Guards against data that waits for ever for a holder that has become slow
// since the room was checked: no memory is released then.
TEST_CASE("a part states when its next holder becomes slow")
{
    memory_part const empty(megabyte);
    REQUIRE_FALSE(empty.next_slow_holder_at());
    auto const part = std::make_shared<memory_part>(megabyte, megabyte);
    reader steady(part, megabyte, byte_count(500'000), at(0));
    reader unread(part->reserve(), megabyte, byte_count(0), at(0));
    auto const slow_at = part->next_slow_holder_at();
    REQUIRE(slow_at == at(1'000));
    REQUIRE(part->used() == megabyte);
    REQUIRE_FALSE(part->reserve()->make_room(
        megabyte, memory_part::eviction::slow_holders, *slow_at));
    REQUIRE(part->reserve()->make_room(megabyte,
                                       memory_part::eviction::slow_holders,
                                       *slow_at + milliseconds(1)));
    REQUIRE_FALSE(steady.ended);
}
