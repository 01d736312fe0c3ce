// Tests the splitting of a byte stream into frames.
#include <algorithm>
#include <cstring>
#include <string>
#include <vector>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include "transport/frame_reader.hpp"

using namespace yuccafall;
using namespace yuccafall::transport;

namespace {

std::string framed(std::string const& frame)
{
    auto const header = encode_frame_length(frame.size());
    return std::string(header.begin(), header.end()) + frame;
}

// Passes the bytes to the reader in pieces of at most max_piece bytes.
core::result<std::vector<std::string>>
read_all(frame_reader& reader, std::string_view bytes, std::size_t max_piece)
{
    std::vector<std::string> frames;
    while (!bytes.empty())
    {
        auto const space = reader.prepare();
        auto const n = std::min({space.size, bytes.size(), max_piece});
        std::memcpy(space.data, bytes.data(), n);
        bytes.remove_prefix(n);
        auto frame = reader.commit(n);
        if (!frame)
        {
            return tl::unexpected(frame.error());
        }
        if (*frame)
        {
            frames.push_back(std::move(**frame));
        }
    }
    return frames;
}

} // namespace

// Guards against frames that depend on how the network splits their bytes.
TEST_CASE("frames do not depend on how their bytes are split")
{
    rc::prop("random frames and piece sizes", [] {
        auto const frames = *rc::gen::container<std::vector<std::string>>(
            rc::gen::nonEmpty<std::string>());
        auto const max_piece = *rc::gen::inRange<std::size_t>(1, 40);
        std::string bytes;
        for (auto const& it : frames)
        {
            bytes += framed(it);
        }
        frame_reader reader(traffic_frame_limit);
        auto const received = read_all(reader, bytes, max_piece);
        RC_ASSERT(received.has_value());
        RC_ASSERT(*received == frames);
    });
}

// Guards against an off-by-one error at the limit and against errors in the
// stepwise growth of a frame's buffer.
TEST_CASE("a frame of the maximum length is accepted and a longer one fails")
{
    std::string const longest(traffic_frame_limit.value(), 'x');
    frame_reader reader(traffic_frame_limit);
    auto const received = read_all(reader, framed(longest), 100'000);
    REQUIRE(received);
    REQUIRE(*received == std::vector<std::string>{longest});

    frame_reader second_reader(traffic_frame_limit);
    auto const rejected = read_all(second_reader, framed(longest + "x"), 1);
    REQUIRE_FALSE(rejected);
    REQUIRE(rejected.error().kind == core::error_kind::bad_frame);
}

TEST_CASE("an empty frame fails")
{
    frame_reader reader(control_frame_limit);
    REQUIRE_FALSE(read_all(reader, std::string(4, '\0'), 4));
}

// Guards against a peer that occupies memory by announcing a large frame and
// sending nothing.
TEST_CASE("the buffer grows with the received bytes")
{
    frame_reader reader(control_frame_limit);
    auto const header = encode_frame_length(control_frame_limit.value());
    REQUIRE(read_all(reader, {header.data(), header.size()}, 4));
    REQUIRE(reader.prepare().size <= 128UL * 1024);
}
