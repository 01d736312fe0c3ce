// Each frame is an array whose first element is the kind of message.
#include "peers/codec.hpp"

#include <limits>

#include "core/overloaded.hpp"
#include "transport/msgpack_io.hpp"

namespace yuccafall::peers {

using transport::frame_elements;
using transport::frame_writer;

namespace {

// Numbers on the wire; never reused for another kind.
enum class wire_kind : std::uint8_t
{
    offer = 1,
    body_wanted = 2,
    body = 3,
    cancel = 4,
    refused = 5,
    answered = 6,
    failed = 7,
    ping = 8,
    pong = 9,
    load_changed = 10,
};

constexpr std::uint64_t longest_ms = 24UL * 3600 * 1000;
constexpr std::uint64_t most_small = std::numeric_limits<std::uint32_t>::max();
constexpr std::uint64_t last_kind_of_route = 2;

void head(frame_writer& to, wire_kind kind, std::size_t elements)
{
    to.array(elements + 1);
    to.number(static_cast<std::uint8_t>(kind));
}

void put(frame_writer& to, core::call_id const& it)
{
    to.array(2);
    to.number(it.node.value());
    to.number(it.sequence);
}

void put(frame_writer& to, core::milliseconds it)
{
    to.number(static_cast<std::uint64_t>(std::max<long>(it.count(), 0)));
}

void put(frame_writer& to, http::header_list const& it)
{
    to.array(it.size() * 2);
    for (auto const& h : it)
    {
        to.text(h.name);
        to.text(h.value);
    }
}

void put(frame_writer& to, balancing::load_report const& it)
{
    to.array(9);
    to.number(it.running.value());
    to.number(it.waiting.value());
    to.number(it.slots.value());
    put(to, it.wait_first);
    put(to, it.wait_last);
    put(to, it.wait_for_bodies);
    to.number(it.body_rate.value());
    to.number(it.pace.value());
    to.number(it.rejecting.value());
}

core::call_id take_call(frame_elements& from)
{
    auto it = from.array();
    core::call_id out;
    out.node = core::incarnation(it.number());
    out.sequence = it.number();
    it.end();
    return out;
}

core::milliseconds take_ms(frame_elements& from)
{
    return core::milliseconds(static_cast<long>(from.number(longest_ms)));
}

template <class Number>
Number take_small(frame_elements& from)
{
    return Number(static_cast<std::uint32_t>(from.number(most_small)));
}

http::header_list take_headers(frame_elements& from)
{
    auto it = from.array();
    http::header_list out;
    while (it.good() && it.left() >= 2)
    {
        auto name = it.text();
        out.push_back({std::move(name), it.text()});
    }
    it.end();
    return out;
}

balancing::load_report take_load(frame_elements& from)
{
    auto it = from.array();
    balancing::load_report out;
    out.running = take_small<core::slot_count>(it);
    out.waiting = take_small<core::queue_length>(it);
    out.slots = take_small<core::slot_count>(it);
    out.wait_first = take_ms(it);
    out.wait_last = take_ms(it);
    out.wait_for_bodies = take_ms(it);
    out.body_rate = core::bytes_per_second(it.number());
    out.pace = take_small<core::percentage>(it);
    out.rejecting = take_small<core::percentage>(it);
    it.end();
    return out;
}

core::error_kind take_error(frame_elements& from)
{
    auto const kind = core::error_kind_from_name(from.text());
    if (!kind)
    {
        from.fail();
        return core::error_kind::bad_frame;
    }
    return *kind;
}

void write(frame_writer& to, offer const& it)
{
    head(to, wire_kind::offer, 18);
    put(to, it.call);
    to.text(it.upstream.value());
    to.text(it.request.value());
    to.text(it.route.value());
    to.number(static_cast<std::uint8_t>(it.kind));
    to.number(it.rank.value());
    to.flag(it.nested);
    put(to, it.remaining);
    put(to, it.aim_remaining);
    to.text(it.origin.value());
    to.flag(it.repeated);
    to.flag(it.has_alternative);
    to.flag(it.body_follows);
    to.number(it.body_size.value());
    to.text(it.message.method);
    to.text(it.message.target);
    put(to, it.message.headers);
    to.text(it.body_follows ? std::string_view() : it.message.body);
}

void write(frame_writer& to, body_wanted const& it)
{
    head(to, wire_kind::body_wanted, 1);
    put(to, it.call);
}

void write(frame_writer& to, body const& it)
{
    head(to, wire_kind::body, 2);
    put(to, it.call);
    to.text(it.bytes);
}

void write(frame_writer& to, cancel const& it)
{
    head(to, wire_kind::cancel, 1);
    put(to, it.call);
}

void write(frame_writer& to, refused const& it)
{
    head(to, wire_kind::refused, 5);
    put(to, it.call);
    to.text(core::error_response_for(it.kind).name);
    put(to, it.retry_after);
    to.flag(it.reached_worker);
    put(to, it.load);
}

void write(frame_writer& to, answered const& it)
{
    head(to, wire_kind::answered, 6);
    put(to, it.call);
    to.number(static_cast<std::uint64_t>(it.message.status));
    put(to, it.message.headers);
    to.text(it.message.body);
    put(to, it.ran_for);
    put(to, it.load);
}

void write(frame_writer& to, failed const& it)
{
    head(to, wire_kind::failed, 4);
    put(to, it.call);
    to.text(core::error_response_for(it.kind).name);
    to.text(it.detail);
    put(to, it.load);
}

void write(frame_writer& to, load_changed const& it)
{
    head(to, wire_kind::load_changed, 2);
    to.text(it.upstream.value());
    put(to, it.load);
}

void write(frame_writer& to, ping const&)
{
    head(to, wire_kind::ping, 0);
}

void write(frame_writer& to, pong const&)
{
    head(to, wire_kind::pong, 0);
}

offer read_offer(frame_elements& from)
{
    offer it;
    it.call = take_call(from);
    it.upstream = core::upstream_id(from.text());
    it.request = core::request_id(from.text());
    it.route = core::route_name(from.text());
    it.kind =
        static_cast<routing::repeatability>(from.number(last_kind_of_route));
    it.rank = take_small<core::rank>(from);
    it.nested = from.flag();
    it.remaining = take_ms(from);
    it.aim_remaining = take_ms(from);
    it.origin = core::service_name(from.text());
    it.repeated = from.flag();
    it.has_alternative = from.flag();
    it.body_follows = from.flag();
    it.body_size = core::byte_count(from.number());
    it.message.method = from.text();
    it.message.target = from.text();
    it.message.headers = take_headers(from);
    it.message.body = from.text();
    return it;
}

refused read_refused(frame_elements& from)
{
    refused it;
    it.call = take_call(from);
    it.kind = take_error(from);
    it.retry_after = take_ms(from);
    it.reached_worker = from.flag();
    it.load = take_load(from);
    return it;
}

answered read_answered(frame_elements& from)
{
    answered it;
    it.call = take_call(from);
    it.message.status = static_cast<int>(from.number(999));
    it.message.headers = take_headers(from);
    it.message.body = from.text();
    it.ran_for = take_ms(from);
    it.load = take_load(from);
    return it;
}

failed read_failed(frame_elements& from)
{
    failed it;
    it.call = take_call(from);
    it.kind = take_error(from);
    it.detail = from.text();
    it.load = take_load(from);
    return it;
}

message read_message(frame_elements& from)
{
    switch (static_cast<wire_kind>(from.number(most_small)))
    {
    case wire_kind::offer:
        return read_offer(from);
    case wire_kind::body_wanted:
        return body_wanted{take_call(from)};
    case wire_kind::body: {
        body it;
        it.call = take_call(from);
        it.bytes = from.text();
        return it;
    }
    case wire_kind::cancel:
        return cancel{take_call(from)};
    case wire_kind::refused:
        return read_refused(from);
    case wire_kind::answered:
        return read_answered(from);
    case wire_kind::failed:
        return read_failed(from);
    case wire_kind::load_changed: {
        load_changed it;
        it.upstream = core::upstream_id(from.text());
        it.load = take_load(from);
        return it;
    }
    case wire_kind::ping:
        return ping{};
    case wire_kind::pong:
        return pong{};
    }
    from.fail();
    return ping{};
}

} // namespace

std::string encode(message const& it)
{
    frame_writer out;
    std::visit([&](auto const& m) { write(out, m); }, it);
    return out.take();
}

core::result<message> decode(std::string_view frame)
{
    return transport::read_frame(frame, read_message);
}

} // namespace yuccafall::peers
