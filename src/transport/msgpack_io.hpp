// Writes and reads the elements of a msgpack frame. Only codecs include this
// header, so that no other code depends on msgpack.
#ifndef YUCCAFALL_TRANSPORT_MSGPACK_IO_HPP
#define YUCCAFALL_TRANSPORT_MSGPACK_IO_HPP

#include <cstdint>
#include <limits>
#include <string>
#include <string_view>
#include <utility>

#define MSGPACK_NO_BOOST
#include <msgpack.hpp>

#include "core/error.hpp"

namespace yuccafall::transport {

class frame_writer
{
public:
    frame_writer() : packer_(buffer_) {}

    void array(std::size_t count)
    {
        packer_.pack_array(static_cast<std::uint32_t>(count));
    }
    void number(std::uint64_t it) { packer_.pack(it); }
    void flag(bool it) { packer_.pack(it); }
    void text(std::string_view it)
    {
        packer_.pack_str(static_cast<std::uint32_t>(it.size()));
        packer_.pack_str_body(it.data(), static_cast<std::uint32_t>(it.size()));
    }

    std::string take() { return {buffer_.data(), buffer_.size()}; }

private:
    msgpack::sbuffer buffer_;
    msgpack::packer<msgpack::sbuffer> packer_;
};

// Reads the elements of one array in order. The readers of all arrays in a
// frame share one flag, which the first error clears. Every read after that
// returns an empty value.
class frame_elements
{
public:
    frame_elements(msgpack::object const& it, bool& good) : good_(&good)
    {
        if (it.type != msgpack::type::ARRAY)
        {
            good = false;
            return;
        }
        elements_ = it.via.array.ptr;
        remaining_ = it.via.array.size;
    }

    bool good() const { return *good_; }
    std::size_t remaining() const { return remaining_; }
    void fail() { *good_ = false; }

    // Skips the elements that have not been read.
    void ignore_rest() { remaining_ = 0; }

    // Fails if elements are left that have not been read.
    void expect_end()
    {
        if (remaining_ != 0)
        {
            fail();
        }
    }

    std::uint64_t
    number(std::uint64_t max_value = std::numeric_limits<std::uint64_t>::max())
    {
        auto const* it = next(msgpack::type::POSITIVE_INTEGER);
        if (it == nullptr || it->via.u64 > max_value)
        {
            fail();
            return 0;
        }
        return it->via.u64;
    }
    bool flag()
    {
        auto const* it = next(msgpack::type::BOOLEAN);
        return it != nullptr && it->via.boolean;
    }
    std::string text()
    {
        auto const* it = next(msgpack::type::STR);
        return it == nullptr ? std::string()
                             : std::string(it->via.str.ptr, it->via.str.size);
    }
    frame_elements array()
    {
        static msgpack::object const nil;
        auto const* it = next(msgpack::type::ARRAY);
        return {it == nullptr ? nil : *it, *good_};
    }

private:
    msgpack::object const* next(msgpack::type::object_type type)
    {
        if (!good() || remaining_ == 0)
        {
            fail();
            return nullptr;
        }
        --remaining_;
        auto const* it = elements_++;
        if (it->type != type)
        {
            fail();
            return nullptr;
        }
        return it;
    }

    msgpack::object const* elements_ = nullptr;
    std::size_t remaining_ = 0;
    bool* good_;
};

// Decodes a frame that consists of one array. `read` reads the elements and
// returns the message. Fails with bad_frame if an element is missing, has the
// wrong type or value, or is left over.
template <class Read>
auto read_frame(std::string_view frame, Read read)
    -> core::result<decltype(read(std::declval<frame_elements&>()))>
{
    bool good = true;
    try
    {
        auto const handle = msgpack::unpack(frame.data(), frame.size());
        frame_elements from(handle.get(), good);
        auto it = read(from);
        from.expect_end();
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
                         "message has missing, invalid or extra elements");
}

} // namespace yuccafall::transport

#endif
