// Each frame is a msgpack array. Its first element is the kind of message.
#include "replication/codec.hpp"

#include <algorithm>

#include "transport/msgpack_io.hpp"

namespace yuccafall::replication {

using transport::frame_elements;
using transport::frame_writer;

namespace {

// These numbers are sent on the wire. The number of a kind is never reused for
// another kind.
enum class wire_kind : std::uint8_t
{
    digest = 1,
    changes = 2,
    pull = 3,
};

constexpr std::uint64_t max_duration_ms = 365UL * 24 * 3600 * 1000;

void write_ms(frame_writer& to, core::milliseconds it)
{
    to.number(static_cast<std::uint64_t>(std::max<long>(it.count(), 0)));
}

core::milliseconds read_ms(frame_elements& from)
{
    return core::milliseconds(static_cast<long>(from.number(max_duration_ms)));
}

void write(frame_writer& to, digest const& it)
{
    to.array(4);
    to.number(static_cast<std::uint8_t>(wire_kind::digest));
    to.number(it.as_of.value());
    write_ms(to, it.confirmed_ago);
    to.text(it.data_centre.value());
}

void write(frame_writer& to, changes const& it)
{
    // A node of an earlier version does not know the last element.
    to.array(it.set.lists_all_deletions ? 6 : 7);
    to.number(static_cast<std::uint8_t>(wire_kind::changes));
    to.number(it.set.base.value());
    to.number(it.set.as_of.value());
    write_ms(to, it.confirmed_ago);
    to.array(it.set.items.size() * 4);
    for (auto const& i : it.set.items)
    {
        to.text(i.key);
        to.text(i.value);
        to.number(i.revision.value());
        to.flag(i.deleted);
    }
    to.array(it.set.compressed.size() * 4);
    for (auto const& i : it.set.compressed)
    {
        to.text(i.key);
        to.number(i.revision.value());
        to.number(i.patch_of.value());
        to.text(i.frame);
    }
    if (!it.set.lists_all_deletions)
    {
        to.flag(false);
    }
}

void write(frame_writer& to, pull const& it)
{
    to.array(2);
    to.number(static_cast<std::uint8_t>(wire_kind::pull));
    to.number(it.as_of.value());
}

digest read_digest(frame_elements& from)
{
    digest it;
    it.as_of = core::revision(from.number());
    it.confirmed_ago = read_ms(from);
    it.data_centre = core::data_centre(from.text());
    return it;
}

changes read_changes(frame_elements& from)
{
    changes it;
    it.set.base = core::revision(from.number());
    it.set.as_of = core::revision(from.number());
    it.confirmed_ago = read_ms(from);
    auto items = from.array();
    while (items.good() && items.remaining() >= 4)
    {
        store_item i;
        i.key = items.text();
        i.value = items.text();
        i.revision = core::revision(items.number());
        i.deleted = items.flag();
        it.set.items.push_back(std::move(i));
    }
    items.expect_end();
    auto compressed = from.array();
    while (compressed.good() && compressed.remaining() >= 4)
    {
        compressed_item i;
        i.key = compressed.text();
        i.revision = core::revision(compressed.number());
        i.patch_of = core::revision(compressed.number());
        i.frame = compressed.text();
        it.set.compressed.push_back(std::move(i));
    }
    compressed.expect_end();
    if (from.remaining() > 0)
    {
        it.set.lists_all_deletions = from.flag();
    }
    return it;
}

message read_message(frame_elements& from)
{
    switch (static_cast<wire_kind>(from.number(0xff)))
    {
    case wire_kind::digest:
        return read_digest(from);
    case wire_kind::changes:
        return read_changes(from);
    case wire_kind::pull:
        return pull{core::revision(from.number())};
    }
    from.fail();
    return pull{};
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

} // namespace yuccafall::replication
