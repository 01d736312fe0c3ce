// A notice is an array of three numbers.
#include "poison/codec.hpp"

#include "transport/msgpack_io.hpp"

namespace yuccafall::poison {

std::string encode(notice const& it)
{
    transport::frame_writer out;
    out.array(3);
    out.number(it.request.value());
    out.number(it.crash.node.value());
    out.number(it.crash.number);
    return out.take();
}

core::result<notice> decode(std::string_view frame)
{
    bool good = true;
    try
    {
        auto const handle = msgpack::unpack(frame.data(), frame.size());
        transport::frame_elements from(handle.get(), good);
        notice it;
        it.request = fingerprint(from.number());
        it.crash.node = core::incarnation(from.number());
        it.crash.number = from.number();
        from.end();
        if (good)
        {
            return it;
        }
    }
    catch (std::exception const& e)
    {
        return core::failure(core::error_kind::bad_frame, e.what());
    }
    return core::failure(core::error_kind::bad_frame,
                         "elements of a notice are missing or wrong");
}

} // namespace yuccafall::poison
