// Tests when parts of long messages may be sent.
#include <catch2/catch.hpp>

#include "transport/link_pacer.hpp"

using namespace yuccafall;
using namespace yuccafall::transport;
using core::milliseconds;

namespace {

core::instant at(long ms)
{
    return core::instant(std::chrono::hours(1)) + milliseconds(ms);
}

// A link that carries 1 kB a millisecond, all of it for long messages.
link_pacer_settings make_settings()
{
    link_pacer_settings it;
    it.bandwidth = core::bytes_per_second(1'000'000);
    it.share = core::percentage(100);
    it.min_part = core::byte_count(10'000);
    return it;
}

} // namespace

// Pattern: large downloads on a narrow link (further-grown, 11 Mbit/s).
TEST_CASE("parts follow each other at the rate of the link")
{
    auto settings = make_settings();
    settings.max_catch_up = milliseconds(0);
    link_pacer pacer(settings);
    auto const it = pacer.open(core::byte_count(25'000));
    REQUIRE(pacer.backlog() == milliseconds(25));
    pacer.request(it);
    auto const first = pacer.next(at(0));
    REQUIRE(first);
    REQUIRE(first->size == core::byte_count(10'000));
    REQUIRE_FALSE(pacer.next(at(0)));
    pacer.request(it);
    REQUIRE_FALSE(pacer.next(at(0)));
    auto const due = pacer.next_time();
    REQUIRE(due);
    REQUIRE_FALSE(pacer.next(*due - milliseconds(1)));
    REQUIRE(pacer.next(*due)->size == core::byte_count(10'000));
    pacer.request(it);
    auto const last = pacer.next(at(100));
    REQUIRE(last->size == core::byte_count(5'000));
    REQUIRE(pacer.backlog() == core::duration::zero());
}

// Guards against messages that all finish late because each gets a part in
// turn.
TEST_CASE("the message that was registered first is finished first")
{
    link_pacer pacer(make_settings());
    auto const first = pacer.open(core::byte_count(20'000));
    auto const second = pacer.open(core::byte_count(20'000));
    pacer.request(second);
    pacer.request(first);
    REQUIRE(pacer.next(at(0))->ticket == first);
    pacer.request(first);
    REQUIRE(pacer.next(at(50))->ticket == first);
    REQUIRE(pacer.next(at(100))->ticket == second);
}

// Guards against a peer that does not read and holds up all other responses.
TEST_CASE("a message whose connection cannot take a part does not block others")
{
    link_pacer pacer(make_settings());
    pacer.open(core::byte_count(50'000));
    auto const ready = pacer.open(core::byte_count(5'000));
    pacer.request(ready);
    REQUIRE(pacer.next(at(0))->ticket == ready);
}

// Guards against unread responses that count as work of the link, so that the
// worker's node refuses all further calls with long responses.
TEST_CASE("a message whose connection has stalled does not count as backlog")
{
    link_pacer pacer(make_settings());
    auto const stalled = pacer.open(core::byte_count(60'000));
    auto const next = pacer.open(core::byte_count(20'000));
    pacer.request(stalled);
    REQUIRE(pacer.next(at(0))->ticket == stalled);
    REQUIRE(pacer.active_backlog(at(999)) == milliseconds(70));
    REQUIRE(pacer.active_backlog(at(1'000)) == milliseconds(20));
    // A message that waits for the link counts however long it waits.
    pacer.request(next);
    REQUIRE(pacer.active_backlog(at(5'000)) == milliseconds(20));
    pacer.request(stalled);
    REQUIRE(pacer.active_backlog(at(5'000)) == milliseconds(70));
}

TEST_CASE("a message that will not be sent leaves the backlog")
{
    link_pacer pacer(make_settings());
    auto const it = pacer.open(core::byte_count(50'000));
    pacer.request(it);
    pacer.close(it);
    REQUIRE(pacer.backlog() == core::duration::zero());
    REQUIRE_FALSE(pacer.next_time());
    REQUIRE_FALSE(pacer.next(at(0)));
    pacer.request(it);
    REQUIRE_FALSE(pacer.next_time());
}

// Guards against timers that fire late and so leave a part of the link unused.
TEST_CASE("a late timer does not lower the rate")
{
    link_pacer pacer(make_settings());
    auto const it = pacer.open(core::byte_count(1'000'000));
    std::size_t sent = 0;
    for (long ms = 0; ms < 1'000; ms += 13)
    {
        pacer.request(it);
        while (auto const part = pacer.next(at(ms)))
        {
            sent += part->size.value();
            pacer.request(it);
        }
    }
    REQUIRE(sent >= 950'000);
    REQUIRE(sent <= 1'050'000);
}

TEST_CASE("parts are larger on a fast link")
{
    auto settings = make_settings();
    settings.bandwidth = core::bytes_per_second(125'000'000);
    link_pacer pacer(settings);
    auto const it = pacer.open(core::byte_count(2'000'000));
    pacer.request(it);
    REQUIRE(pacer.next(at(0))->size == core::byte_count(500'000));
}
