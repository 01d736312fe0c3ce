// Each frame is a msgpack array whose first element is the kind of message.
#include "peers/codec.hpp"

#include <limits>

#include "core/overloaded.hpp"
#include "transport/msgpack_io.hpp"

namespace yuccafall::peers {

using transport::frame_elements;
using transport::frame_writer;

namespace {

// The values are sent on the wire. The value of a removed kind must never be
// reused for another kind.
enum class message_kind : std::uint8_t
{
    offer = 1,
    body_request = 2,
    body_data = 3,
    cancel = 4,
    refused = 5,
    answered = 6,
    failed = 7,
    ping = 8,
    pong = 9,
    load_update = 10,
};

constexpr std::uint64_t max_duration_ms = 24UL * 3600 * 1000;
constexpr std::uint64_t max_uint32 = std::numeric_limits<std::uint32_t>::max();

void write_header(frame_writer& to, message_kind kind, std::size_t elements)
{
    to.array(elements + 1);
    to.number(static_cast<std::uint8_t>(kind));
}

void write_field(frame_writer& to, core::call_id const& it)
{
    to.array(2);
    to.number(it.node.value());
    to.number(it.sequence);
}

void write_field(frame_writer& to, core::milliseconds it)
{
    to.number(static_cast<std::uint64_t>(std::max<long>(it.count(), 0)));
}

void write_field(frame_writer& to, http::header_list const& it)
{
    to.array(it.size() * 2);
    for (auto const& h : it)
    {
        to.text(h.name);
        to.text(h.value);
    }
}

// An empty array stands for an unknown rate, and one without a number above 0
// for a rate without a limit. A limit is sent plus one.
void write_field(frame_writer& to, core::stated_rate const& it)
{
    std::visit(core::overloaded{[&](core::rate_unknown) { to.array(0); },
                                [&](core::rate_unlimited) {
                                    to.array(1);
                                    to.number(0);
                                },
                                [&](core::rate_limited const& limited) {
                                    to.array(1);
                                    to.number(limited.limit.value() + 1UL);
                                }},
               it);
}

void write_field(frame_writer& to, core::warm_up_limits const& it)
{
    to.array(2);
    to.number(it.rate.value());
    write_field(to, it.duration);
}

void write_field(frame_writer& to, balancing::rank_wait const& it)
{
    to.array(2);
    to.number(it.rank.value());
    write_field(to, it.wait);
}

void write_field(frame_writer& to, balancing::load_report const& it)
{
    to.array(it.waits_by_rank.empty() ? 11 : 12);
    to.number(it.running.value());
    to.number(it.waiting.value());
    to.number(it.slots.value());
    write_field(to, it.wait_for_nested);
    write_field(to, it.wait_at_back);
    write_field(to, it.wait_for_bodies);
    to.number(it.body_rate.value());
    to.number(it.relative_service_time.value());
    to.number(it.rejection_share.value());
    write_field(to, it.rate);
    write_field(to, it.cold_rate);
    if (!it.waits_by_rank.empty())
    {
        to.array(it.waits_by_rank.size());
        for (auto const& wait : it.waits_by_rank)
        {
            write_field(to, wait);
        }
    }
}

core::call_id read_call_id(frame_elements& from)
{
    auto it = from.array();
    core::call_id out;
    out.node = core::incarnation(it.number());
    out.sequence = it.number();
    it.expect_end();
    return out;
}

core::milliseconds read_duration(frame_elements& from)
{
    return core::milliseconds(static_cast<long>(from.number(max_duration_ms)));
}

template <class Number>
Number read_uint32(frame_elements& from)
{
    return Number(static_cast<std::uint32_t>(from.number(max_uint32)));
}

http::header_list read_headers(frame_elements& from)
{
    auto it = from.array();
    http::header_list out;
    while (it.good() && it.remaining() >= 2)
    {
        auto name = it.text();
        out.push_back({std::move(name), it.text()});
    }
    it.expect_end();
    return out;
}

core::stated_rate read_rate(frame_elements& from)
{
    auto it = from.array();
    if (it.remaining() == 0)
    {
        return core::rate_unknown{};
    }
    auto const n = it.number(max_uint32 + 1);
    it.expect_end();
    if (n == 0)
    {
        return core::rate_unlimited{};
    }
    return core::rate_limited{
        core::millihertz(static_cast<std::uint32_t>(n - 1))};
}

// An empty array, and a rate of 0, stand for a service without a cold rate.
std::optional<core::warm_up_limits> read_warm_up(frame_elements& from)
{
    auto it = from.array();
    if (it.remaining() == 0)
    {
        return std::nullopt;
    }
    core::warm_up_limits out;
    out.rate = read_uint32<core::millihertz>(it);
    out.duration = read_duration(it);
    return out.rate.value() == 0 ? std::nullopt : std::optional(out);
}

// Ranks beyond the maximum that this version sends are ignored.
std::vector<balancing::rank_wait> read_rank_waits(frame_elements& from)
{
    auto it = from.array();
    std::vector<balancing::rank_wait> out;
    while (it.good() && it.remaining() > 0 &&
           out.size() < balancing::max_rank_waits)
    {
        auto pair = it.array();
        auto const rank = read_uint32<core::rank>(pair);
        out.push_back({rank, read_duration(pair)});
        pair.expect_end();
    }
    return out;
}

balancing::load_report read_load(frame_elements& from)
{
    auto it = from.array();
    balancing::load_report out;
    out.running = read_uint32<core::slot_count>(it);
    out.waiting = read_uint32<core::queue_length>(it);
    out.slots = read_uint32<core::slot_count>(it);
    out.wait_for_nested = read_duration(it);
    out.wait_at_back = read_duration(it);
    out.wait_for_bodies = read_duration(it);
    out.body_rate = core::bytes_per_second(it.number());
    out.relative_service_time = read_uint32<core::percentage>(it);
    out.rejection_share = read_uint32<core::percentage>(it);
    out.rate = read_rate(it);
    // An older version does not send the elements that follow.
    if (it.remaining() > 0)
    {
        out.cold_rate = read_rate(it);
    }
    if (it.remaining() > 0)
    {
        out.waits_by_rank = read_rank_waits(it);
    }
    // A newer version may append elements, which are ignored.
    return out;
}

// A newer version may send an error kind that this one does not know. The
// message says whether the call ran, so a kind with the same meaning stands in.
core::error_kind read_error_kind(frame_elements& from,
                                 core::error_kind if_unknown)
{
    return core::error_kind_from_name(from.text()).value_or(if_unknown);
}

// A kind that this version does not know is treated as the one that permits
// least.
routing::repeatability read_repeatability(frame_elements& from)
{
    auto const n = from.number(max_uint32);
    return n <= static_cast<std::uint64_t>(routing::repeatability::download)
               ? static_cast<routing::repeatability>(n)
               : routing::repeatability::non_idempotent;
}

void write_message(frame_writer& to, offer const& it)
{
    // The versions before the cold rate accept no additional element, so none
    // is sent where it would state nothing.
    write_header(to, message_kind::offer, it.warm_up ? 20 : 19);
    write_field(to, it.call);
    to.text(it.upstream.value());
    to.text(it.request_id.value());
    to.text(it.route.value());
    to.number(static_cast<std::uint8_t>(it.repeatability));
    to.number(it.rank.value());
    to.flag(it.nested);
    write_field(to, it.deadline_remaining);
    write_field(to, it.target_latency_remaining);
    to.text(it.origin.value());
    to.flag(it.is_repeat);
    to.flag(it.has_alternative);
    to.flag(it.body_follows);
    write_field(to, it.rate);
    to.number(it.body_size.value());
    to.text(it.http_request.method);
    to.text(it.http_request.target);
    write_field(to, it.http_request.headers);
    to.text(it.body_follows ? std::string_view() : it.http_request.body);
    if (it.warm_up)
    {
        write_field(to, *it.warm_up);
    }
}

void write_message(frame_writer& to, body_request const& it)
{
    write_header(to, message_kind::body_request, 1);
    write_field(to, it.call);
}

void write_message(frame_writer& to, body_data const& it)
{
    write_header(to, message_kind::body_data, 2);
    write_field(to, it.call);
    to.text(it.bytes);
}

void write_message(frame_writer& to, cancel const& it)
{
    write_header(to, message_kind::cancel, 1);
    write_field(to, it.call);
}

void write_message(frame_writer& to, refused const& it)
{
    write_header(to, message_kind::refused, 6);
    write_field(to, it.call);
    to.text(core::error_kind_info_for(it.kind).name);
    write_field(to, it.retry_after);
    to.flag(it.reached_worker);
    to.flag(it.worker_leaves);
    write_field(to, it.load);
}

void write_message(frame_writer& to, answered const& it)
{
    write_header(to, message_kind::answered, 7);
    write_field(to, it.call);
    to.number(static_cast<std::uint64_t>(it.http_response.status));
    write_field(to, it.http_response.headers);
    to.text(it.http_response.body);
    write_field(to, it.run_time);
    to.flag(it.worker_leaves);
    write_field(to, it.load);
}

void write_message(frame_writer& to, failed const& it)
{
    write_header(to, message_kind::failed, 4);
    write_field(to, it.call);
    to.text(core::error_kind_info_for(it.kind).name);
    to.text(it.detail);
    write_field(to, it.load);
}

void write_message(frame_writer& to, load_update const& it)
{
    write_header(to, message_kind::load_update, 2);
    to.text(it.upstream.value());
    write_field(to, it.load);
}

void write_message(frame_writer& to, ping const&)
{
    write_header(to, message_kind::ping, 0);
}

void write_message(frame_writer& to, pong const&)
{
    write_header(to, message_kind::pong, 0);
}

offer read_offer(frame_elements& from)
{
    offer it;
    it.call = read_call_id(from);
    it.upstream = core::upstream_id(from.text());
    it.request_id = core::request_id(from.text());
    it.route = core::route_name(from.text());
    it.repeatability = read_repeatability(from);
    it.rank = read_uint32<core::rank>(from);
    it.nested = from.flag();
    it.deadline_remaining = read_duration(from);
    it.target_latency_remaining = read_duration(from);
    it.origin = core::service_name(from.text());
    it.is_repeat = from.flag();
    it.has_alternative = from.flag();
    it.body_follows = from.flag();
    it.rate = read_rate(from);
    it.body_size = core::byte_count(from.number());
    it.http_request.method = from.text();
    it.http_request.target = from.text();
    it.http_request.headers = read_headers(from);
    it.http_request.body = from.text();
    // An older version does not send the elements that follow.
    if (from.remaining() > 0)
    {
        it.warm_up = read_warm_up(from);
    }
    // A newer version may append elements.
    from.ignore_rest();
    return it;
}

refused read_refused(frame_elements& from)
{
    refused it;
    it.call = read_call_id(from);
    it.kind = read_error_kind(from, core::error_kind::overloaded);
    it.retry_after = read_duration(from);
    it.reached_worker = from.flag();
    it.worker_leaves = from.flag();
    it.load = read_load(from);
    return it;
}

answered read_answered(frame_elements& from)
{
    answered it;
    it.call = read_call_id(from);
    it.http_response.status = static_cast<int>(from.number(999));
    it.http_response.headers = read_headers(from);
    it.http_response.body = from.text();
    it.run_time = read_duration(from);
    it.worker_leaves = from.flag();
    it.load = read_load(from);
    return it;
}

failed read_failed(frame_elements& from)
{
    failed it;
    it.call = read_call_id(from);
    it.kind = read_error_kind(from, core::error_kind::upstream_failed);
    it.detail = from.text();
    it.load = read_load(from);
    return it;
}

message read_message(frame_elements& from)
{
    switch (static_cast<message_kind>(from.number(max_uint32)))
    {
    case message_kind::offer:
        return read_offer(from);
    case message_kind::body_request:
        return body_request{read_call_id(from)};
    case message_kind::body_data: {
        body_data it;
        it.call = read_call_id(from);
        it.bytes = from.text();
        return it;
    }
    case message_kind::cancel:
        return cancel{read_call_id(from)};
    case message_kind::refused:
        return read_refused(from);
    case message_kind::answered:
        return read_answered(from);
    case message_kind::failed:
        return read_failed(from);
    case message_kind::load_update: {
        load_update it;
        it.upstream = core::upstream_id(from.text());
        it.load = read_load(from);
        return it;
    }
    case message_kind::ping:
        return ping{};
    case message_kind::pong:
        return pong{};
    }
    from.fail();
    return ping{};
}

} // namespace

std::string encode(message const& it)
{
    frame_writer out;
    std::visit([&](auto const& m) { write_message(out, m); }, it);
    return out.take();
}

core::result<message> decode(std::string_view frame)
{
    return transport::read_frame(frame, read_message);
}

} // namespace yuccafall::peers
