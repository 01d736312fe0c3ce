// Tests the encoding and decoding of messages between nodes.
#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include "peers/codec.hpp"

using namespace yuccafall;
using namespace yuccafall::peers;

namespace {

core::call_id make_call_id()
{
    return {core::incarnation(~0ULL), 7};
}

balancing::load_report make_load_report()
{
    balancing::load_report it;
    it.running = core::slot_count(3);
    it.waiting = core::queue_length(4);
    it.slots = core::slot_count(6);
    it.wait_for_nested = core::milliseconds(5);
    it.wait_at_back = core::milliseconds(50);
    it.wait_for_bodies = core::milliseconds(11);
    it.body_rate = core::bytes_per_second(960'000);
    it.relative_service_time = core::percentage(120);
    it.rejection_share = core::percentage(7);
    it.rate = core::rate_limited{core::millihertz(12'200)};
    it.cold_rate = core::rate_limited{core::millihertz(16'000)};
    return it;
}

offer make_offer()
{
    offer it;
    it.call = make_call_id();
    it.upstream = core::upstream_id("i-1");
    it.request_id = core::request_id("q");
    it.route = core::route_name("r");
    it.repeatability = routing::repeatability::upload;
    it.rank = core::rank(2);
    it.nested = true;
    it.deadline_remaining = core::milliseconds(900);
    it.target_latency_remaining = core::milliseconds(400);
    it.origin = core::service_name("s");
    it.is_repeat = true;
    it.has_alternative = true;
    it.rate = core::rate_unlimited{};
    it.body_size = core::byte_count(3);
    it.http_request.method = "POST";
    it.http_request.target = "/x";
    it.http_request.headers = {{"Host", "h"}};
    it.http_request.body = std::string("a\0b", 3);
    return it;
}

// Checks that a decoded message has the same type and encodes to the same
// bytes.
void check_round_trip(message const& it)
{
    auto const bytes = encode(it);
    auto const decoded = decode(bytes);
    REQUIRE(decoded);
    REQUIRE(decoded->index() == it.index());
    REQUIRE(encode(*decoded) == bytes);
}

} // namespace

TEST_CASE("decoding an encoded message gives the same message")
{
    check_round_trip(make_offer());
    check_round_trip(body_request{make_call_id()});
    check_round_trip(body_data{make_call_id(), "bytes"});
    check_round_trip(cancel{make_call_id()});
    check_round_trip(refused{make_call_id(), core::error_kind::leaving,
                             core::milliseconds(30), true, true,
                             make_load_report()});
    http::response response;
    response.status = 201;
    response.headers = {{"A", "b"}};
    response.body = "whole";
    check_round_trip(answered{make_call_id(), response, core::milliseconds(9),
                              true, make_load_report()});
    check_round_trip(failed{make_call_id(), core::error_kind::upstream_failed,
                            "reset", make_load_report()});
    check_round_trip(load_update{core::upstream_id("i"), make_load_report()});
    check_round_trip(ping{});
    check_round_trip(pong{});
}

// Guards against an owner node that restarts and does not learn the cold rate
// from offers, and against one that cannot read the offers of other versions.
TEST_CASE("an offer states the cold rate if the service has one")
{
    auto it = make_offer();
    auto const without = decode(encode(it));
    REQUIRE(without);
    REQUIRE_FALSE(std::get<offer>(*without).warm_up);
    it.warm_up = core::warm_up_limits{core::millihertz(17'500),
                                      core::milliseconds(3'000)};
    check_round_trip(it);
    auto bytes = encode(it);
    auto const with = decode(bytes);
    REQUIRE(std::get<offer>(*with).warm_up == it.warm_up);
    // The frame is an array with a 16-bit length. A newer version appends a
    // number.
    REQUIRE(bytes.substr(0, 3) == std::string("\xdc\x00\x15", 3));
    bytes[2] = '\x16';
    bytes += '\x07';
    auto const newer = decode(bytes);
    REQUIRE(newer);
    REQUIRE(std::get<offer>(*newer).warm_up == it.warm_up);
}

// Guards against a rolling update in which load reports without the cold rate
// end the connection to each node of the previous version.
TEST_CASE("a load report of an earlier version states no cold rate")
{
    auto report = make_load_report();
    report.cold_rate = core::rate_unknown{};
    // The report is the last element and an array of 11, of which the last is
    // an empty array.
    auto bytes = encode(load_update{core::upstream_id("i"), report});
    auto const at = bytes.find('\x9b');
    REQUIRE(at != std::string::npos);
    REQUIRE(bytes.back() == '\x90');
    bytes[at] = '\x9a';
    bytes.pop_back();
    auto const older = decode(bytes);
    REQUIRE(older);
    auto const& load = std::get<load_update>(*older).load;
    REQUIRE_FALSE(core::limit_of(load.cold_rate));
    REQUIRE(core::limit_of(load.rate) == core::millihertz(12'200));
}

// Guards against a rolling update in which the waits by rank end the connection
// to each node of the previous version, or of a later one.
TEST_CASE("a load report states waits by rank if there are any")
{
    auto report = make_load_report();
    auto const update_of = [](std::string const& bytes) {
        auto const it = decode(bytes);
        REQUIRE(it);
        return std::get<load_update>(*it).load;
    };
    // The previous version sends and reads an array of 11.
    auto const without = encode(load_update{core::upstream_id("i"), report});
    REQUIRE(without.find('\x9b') != std::string::npos);
    REQUIRE(update_of(without).waits_by_rank.empty());

    report.waits_by_rank = {{core::rank(1), core::milliseconds(20)},
                            {core::rank(2), core::milliseconds(90)}};
    auto bytes = encode(load_update{core::upstream_id("i"), report});
    check_round_trip(load_update{core::upstream_id("i"), report});
    auto const waits = update_of(bytes).waits_by_rank;
    REQUIRE(waits.size() == 2);
    REQUIRE(waits[1].rank == core::rank(2));
    REQUIRE(waits[1].wait == core::milliseconds(90));
    // The elements of the previous version are unchanged and come first.
    auto const at = bytes.find('\x9c');
    REQUIRE(at == without.find('\x9b'));
    REQUIRE(bytes.substr(at + 1, without.size() - at - 1) ==
            without.substr(at + 1));
    // A later version appends a number.
    bytes[at] = '\x9d';
    bytes += '\x07';
    REQUIRE(update_of(bytes).waits_by_rank.size() == 2);
}

// Guards against a peer that makes a node hold a long list for each worker.
TEST_CASE("waits of more ranks than the maximum are ignored")
{
    auto report = make_load_report();
    for (std::uint32_t i = 0; i < 12; ++i)
    {
        report.waits_by_rank.push_back(
            {core::rank(i), core::milliseconds(10 * i)});
    }
    auto const it = decode(encode(load_update{core::upstream_id("i"), report}));
    REQUIRE(it);
    REQUIRE(std::get<load_update>(*it).load.waits_by_rank.size() ==
            balancing::max_rank_waits);
}

// Guards against a truncated frame that is decoded as a message.
TEST_CASE("a truncated frame is rejected")
{
    auto const bytes = encode(make_offer());
    for (std::size_t n = 0; n < bytes.size(); ++n)
    {
        REQUIRE_FALSE(decode(std::string_view(bytes).substr(0, n)));
    }
}

// Guards against a rolling update in which a new word ends the connection to
// each node of the previous version, with all calls on it.
TEST_CASE("words of a newer version are read as the strictest known ones")
{
    auto const replaced = [](std::string bytes, std::string const& from,
                             std::string const& to) {
        auto const at = bytes.find(from);
        REQUIRE(at != std::string::npos);
        return bytes.replace(at, from.size(), to);
    };
    auto const not_run = decode(replaced(
        encode(refused{make_call_id(), core::error_kind::leaving,
                       core::milliseconds(30), true, true, make_load_report()}),
        "leaving", "frozen!"));
    REQUIRE(not_run);
    REQUIRE(std::get<refused>(*not_run).kind == core::error_kind::overloaded);
    auto const may_have_run = decode(replaced(
        encode(failed{make_call_id(), core::error_kind::upstream_failed,
                      "reset", make_load_report()}),
        "upstream_failed", "upstream_melted"));
    REQUIRE(may_have_run);
    REQUIRE(std::get<failed>(*may_have_run).kind ==
            core::error_kind::upstream_failed);
    auto offer = make_offer();
    offer.route = core::route_name("R");
    offer.repeatability = routing::repeatability::download;
    auto const newer =
        decode(replaced(encode(offer), "\xa1R\x03", "\xa1R\x2a"));
    REQUIRE(newer);
    REQUIRE(std::get<peers::offer>(*newer).repeatability ==
            routing::repeatability::non_idempotent);
}

TEST_CASE("arbitrary bytes decode to a message or fail with bad_frame")
{
    rc::prop("random bytes", [](std::string const& bytes) {
        auto const it = decode(bytes);
        RC_ASSERT(it || it.error().kind == core::error_kind::bad_frame);
    });
    auto const good = encode(make_offer());
    rc::prop("a valid frame with one byte changed", [&](std::uint16_t position,
                                                        char value) {
        auto bytes = good;
        bytes[position % bytes.size()] = value;
        auto const it = decode(bytes);
        RC_ASSERT(it || it.error().kind == core::error_kind::bad_frame);
    });
}
