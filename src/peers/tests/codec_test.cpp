// Tests of the frames between nodes.
#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include "peers/codec.hpp"

using namespace yuccafall;
using namespace yuccafall::peers;

namespace {

core::call_id some_call()
{
    return {core::incarnation(~0ULL), 7};
}

balancing::load_report some_load()
{
    balancing::load_report it;
    it.running = core::slot_count(3);
    it.waiting = core::queue_length(4);
    it.slots = core::slot_count(6);
    it.wait_at_front = core::milliseconds(5);
    it.wait_at_back = core::milliseconds(50);
    it.wait_for_bodies = core::milliseconds(11);
    it.body_rate = core::bytes_per_second(960'000);
    it.pace = core::percentage(120);
    it.rejection_share = core::percentage(7);
    return it;
}

offer some_offer()
{
    offer it;
    it.call = some_call();
    it.upstream = core::upstream_id("i-1");
    it.request = core::request_id("q");
    it.route = core::route_name("r");
    it.kind = routing::repeatability::upload;
    it.rank = core::rank(2);
    it.nested = true;
    it.remaining = core::milliseconds(900);
    it.aim_remaining = core::milliseconds(400);
    it.origin = core::service_name("s");
    it.repeated = true;
    it.has_alternative = true;
    it.body_size = core::byte_count(3);
    it.message.method = "POST";
    it.message.target = "/x";
    it.message.headers = {{"Host", "h"}};
    it.message.body = std::string("a\0b", 3);
    return it;
}

// Encoding what was decoded gives the same bytes.
void check_round_trip(message const& it)
{
    auto const bytes = encode(it);
    auto const decoded = decode(bytes);
    REQUIRE(decoded);
    REQUIRE(decoded->index() == it.index());
    REQUIRE(encode(*decoded) == bytes);
}

} // namespace

TEST_CASE("each message survives its frame")
{
    check_round_trip(some_offer());
    check_round_trip(body_wanted{some_call()});
    check_round_trip(body{some_call(), "bytes"});
    check_round_trip(cancel{some_call()});
    check_round_trip(refused{some_call(), core::error_kind::leaving,
                             core::milliseconds(30), true, some_load()});
    http::response answer;
    answer.status = 201;
    answer.headers = {{"A", "b"}};
    answer.body = "whole";
    check_round_trip(
        answered{some_call(), answer, core::milliseconds(9), some_load()});
    check_round_trip(failed{some_call(), core::error_kind::upstream_failed,
                            "reset", some_load()});
    check_round_trip(load_changed{core::upstream_id("i"), some_load()});
    check_round_trip(ping{});
    check_round_trip(pong{});
}

// Guards against a frame cut short that passes for a message.
TEST_CASE("no part of a frame is a message")
{
    auto const bytes = encode(some_offer());
    for (std::size_t n = 0; n < bytes.size(); ++n)
    {
        REQUIRE_FALSE(decode(std::string_view(bytes).substr(0, n)));
    }
}

TEST_CASE("bytes of any kind are a message or bad_frame")
{
    rc::prop("bytes", [](std::string const& bytes) {
        auto const it = decode(bytes);
        RC_ASSERT(it || it.error().kind == core::error_kind::bad_frame);
    });
    auto const good = encode(some_offer());
    rc::prop("a changed byte", [&](std::uint16_t where, char value) {
        auto bytes = good;
        bytes[where % bytes.size()] = value;
        auto const it = decode(bytes);
        RC_ASSERT(it || it.error().kind == core::error_kind::bad_frame);
    });
}
