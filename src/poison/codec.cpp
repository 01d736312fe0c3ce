// A notice of a crash is encoded as an array of three numbers: the fingerprint
// of the request, the incarnation of the node and the number of the crash. A
// notice of a completion has two: the fingerprint and the remaining
// milliseconds.
#include "poison/codec.hpp"

#include <algorithm>

#include "transport/msgpack_io.hpp"

namespace yuccafall::poison {

namespace {

constexpr core::milliseconds max_remaining = suspect_list::cleared_ttl;

void write(transport::frame_writer& to, crash_notice const& it)
{
    to.array(3);
    to.number(it.request.value());
    to.number(it.crash.node.value());
    to.number(it.crash.number);
}

void write(transport::frame_writer& to, completion_notice const& it)
{
    to.array(2);
    to.number(it.request.value());
    to.number(static_cast<std::uint64_t>(
        std::max<std::int64_t>(it.remaining.count(), 0)));
}

} // namespace

std::string encode(notice const& it)
{
    transport::frame_writer out;
    std::visit([&](auto const& n) { write(out, n); }, it);
    return out.take();
}

core::result<notice> decode(std::string_view frame)
{
    return transport::read_frame(frame, [](transport::frame_elements& from) {
        if (from.remaining() == 2)
        {
            completion_notice it;
            it.request = fingerprint(from.number());
            it.remaining = core::milliseconds(
                static_cast<std::int64_t>(from.number(max_remaining.count())));
            return notice(it);
        }
        crash_notice it;
        it.request = fingerprint(from.number());
        it.crash.node = core::incarnation(from.number());
        it.crash.number = from.number();
        return notice(it);
    });
}

} // namespace yuccafall::poison
