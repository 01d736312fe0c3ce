// Reads frames incrementally, with a limit on their length.
#include "transport/frame_reader.hpp"

#include <algorithm>

#include <fmt/format.h>

namespace yuccafall::transport {

namespace {

// The buffer of a frame grows by this much as its bytes arrive, so that a peer
// that announces a large frame and sends nothing occupies little memory.
constexpr std::size_t buffer_growth = 80UL * 1024;

} // namespace

frame_header encode_frame_length(std::size_t length)
{
    return {static_cast<char>(length >> 24 & 0xff),
            static_cast<char>(length >> 16 & 0xff),
            static_cast<char>(length >> 8 & 0xff),
            static_cast<char>(length & 0xff)};
}

frame_reader::space frame_reader::prepare()
{
    if (frame_length_ == 0)
    {
        return {header_.data() + header_filled_,
                frame_header_size - header_filled_};
    }
    if (frame_filled_ == frame_.size())
    {
        frame_.resize(std::min(frame_length_, frame_filled_ + buffer_growth));
    }
    return {frame_.data() + frame_filled_, frame_.size() - frame_filled_};
}

core::result<std::optional<std::string>> frame_reader::commit(std::size_t n)
{
    if (frame_length_ == 0)
    {
        header_filled_ += n;
        return header_received();
    }
    frame_filled_ += n;
    if (frame_filled_ < frame_length_)
    {
        return std::nullopt;
    }
    header_filled_ = 0;
    frame_length_ = 0;
    frame_filled_ = 0;
    return std::exchange(frame_, {});
}

core::result<std::optional<std::string>> frame_reader::header_received()
{
    if (header_filled_ < frame_header_size)
    {
        return std::nullopt;
    }
    std::size_t length = 0;
    for (char const c : header_)
    {
        length = length << 8 | static_cast<unsigned char>(c);
    }
    if (length == 0 || length > limit_.value())
    {
        return core::failure(
            core::error_kind::bad_frame,
            fmt::format(
                "frame length of {} bytes is zero or over the limit of {}",
                length, limit_.value()));
    }
    frame_length_ = length;
    return std::nullopt;
}

} // namespace yuccafall::transport
