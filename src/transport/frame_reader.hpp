// Splits a byte stream into frames. A frame is sent as its length in four
// bytes, big-endian, followed by its content. Bytes are received directly into
// the frame that is returned.
//
// The channel kind of a connection is its purpose: traffic (calls to workers)
// or control (replicated state). The kind is the only byte of the connection's
// first frame and determines the maximum length of its frames.
#ifndef YUCCAFALL_TRANSPORT_FRAME_READER_HPP
#define YUCCAFALL_TRANSPORT_FRAME_READER_HPP

#include <array>
#include <cstddef>
#include <optional>
#include <string>

#include "core/error.hpp"
#include "core/units.hpp"

namespace yuccafall::transport {

enum class channel_kind : std::uint8_t
{
    traffic = 1,
    control = 2,
};

// A traffic frame can hold a whole body of the maximum size that a
// configuration allows.
inline constexpr core::byte_count traffic_frame_limit{66UL * 1024 * 1024};
inline constexpr core::byte_count control_frame_limit{32UL * 1024 * 1024};

constexpr core::byte_count frame_limit_of(channel_kind kind)
{
    return kind == channel_kind::traffic ? traffic_frame_limit
                                         : control_frame_limit;
}

inline constexpr std::size_t frame_header_size = 4;
using frame_header = std::array<char, frame_header_size>;

frame_header encode_frame_length(std::size_t length);

// Collects received bytes until they complete a frame.
class frame_reader
{
public:
    struct space
    {
        char* data;
        std::size_t size;
    };

    explicit frame_reader(core::byte_count limit) : limit_(limit) {}

    // Returns the space for the next received bytes. It is never empty and is
    // valid until commit().
    space prepare();

    // Accepts n bytes that were written to the prepared space. Returns the
    // frame if they complete one. Fails with bad_frame if the length is zero or
    // over the limit; the reader must not be used after that.
    core::result<std::optional<std::string>> commit(std::size_t n);

    // Returns the length of the frame that is being received, or 0 if its
    // header is not complete.
    std::size_t frame_length() const { return frame_length_; }
    // Returns how many bytes of that frame have been received.
    std::size_t received() const { return frame_filled_; }

private:
    core::result<std::optional<std::string>> header_received();

    core::byte_count limit_;
    frame_header header_{};
    std::size_t header_filled_ = 0;
    // Invariant: 0 until the header is complete, then the frame's length.
    std::size_t frame_length_ = 0;
    std::size_t frame_filled_ = 0;
    std::string frame_;
};

} // namespace yuccafall::transport

#endif
