// A notice is encoded as an array of three numbers: the fingerprint of the
// request, the incarnation of the node and the number of the crash.
#include "poison/codec.hpp"

#include "transport/msgpack_io.hpp"

namespace yuccafall::poison {

std::string encode(crash_notice const& it)
{
    transport::frame_writer out;
    out.array(3);
    out.number(it.request.value());
    out.number(it.crash.node.value());
    out.number(it.crash.number);
    return out.take();
}

core::result<crash_notice> decode(std::string_view frame)
{
    return transport::read_frame(frame, [](transport::frame_elements& from) {
        crash_notice it;
        it.request = fingerprint(from.number());
        it.crash.node = core::incarnation(from.number());
        it.crash.number = from.number();
        return it;
    });
}

} // namespace yuccafall::poison
