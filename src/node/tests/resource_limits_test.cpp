// Tests how the memory and the descriptors of a node are divided.
#include <catch2/catch.hpp>

#include "node/resource_limits.hpp"

using namespace yuccafall;
using namespace yuccafall::node;

namespace {

settings with_limits(std::uint64_t memory_mb, std::uint64_t max_fds)
{
    settings it;
    it.memory_limit = core::byte_count(memory_mb * 1024 * 1024);
    it.max_descriptors = descriptor_count(max_fds);
    return it;
}

constexpr descriptor_count many(1'000'000'000);

} // namespace

// Guards against connections of callers that take all descriptors of a small VM
// (4,100, of which 200 are reserved).
TEST_CASE("descriptors remain for other nodes, the worker and the store")
{
    for (std::uint64_t const descriptors : {256, 1'024, 4'100, 1'000'000})
    {
        CAPTURE(descriptors);
        auto const it = limits_for(with_limits(160, descriptors), many);
        auto const open = it.caller_connections.value() +
                          std::uint64_t{it.peer_sessions.value()};
        REQUIRE(it.caller_connections.value() > 0);
        REQUIRE(open * 10 <= descriptors * 8);
        REQUIRE(open + 100 <= descriptors);
        auto const operators = it.operator_connections.value();
        REQUIRE(operators > 0);
        REQUIRE((open + operators) * 100 <= descriptors * 85);
    }
    REQUIRE(limits_for(with_limits(160, 4'100), many).caller_connections ==
            core::connection_count(2'340));
}

// Guards against a node without the setting that accepts more connections than
// the operating system allows, or that lets idle ones take its memory.
TEST_CASE("the limits of the operating system and of the memory apply")
{
    auto const without_setting =
        limits_for(with_limits(160, 0), descriptor_count(1'200));
    REQUIRE(without_setting.caller_connections == core::connection_count(600));
    REQUIRE(limits_for(with_limits(160, 9'000), descriptor_count(1'200))
                .caller_connections == core::connection_count(600));
    auto const small = limits_for(with_limits(16, 0), many);
    REQUIRE(small.caller_connections.value() * 10UL * 1024 <=
            16UL * 1024 * 1024 / 4);
}

// Guards against a request or a response of the largest size that never fits.
TEST_CASE("the largest request and response have room")
{
    auto const it = limits_for(with_limits(160, 0), many);
    REQUIRE(it.request_memory == core::byte_count(32UL * 1024 * 1024));
    REQUIRE(it.frame_memory > it.request_memory);
    REQUIRE(it.response_memory.value() >= 4 * it.max_response.value());
    REQUIRE(it.worker_memory.value() >= 4 * it.max_response.value());
    auto const total = it.request_memory.value() + it.response_memory.value() +
                       it.worker_memory.value() + it.frame_memory.value();
    REQUIRE(total * 10 <= 160UL * 1024 * 1024 * 9);
    REQUIRE(it.frame_reserve > it.max_response);
    REQUIRE(total + it.frame_reserve.value() <= 160UL * 1024 * 1024);
    REQUIRE(total + it.control_frame_memory.value() +
                it.operator_memory.value() + it.readiness_memory.value() <=
            160UL * 1024 * 1024);
}

// Guards against readiness connections that exceed their memory together, so
// that the platform's check is refused.
TEST_CASE("all readiness connections have room for their largest requests")
{
    constexpr std::uint64_t head_and_body = 32UL * 1024;
    for (std::uint64_t const memory_mb : {16, 96, 160, 260, 10'000})
    {
        CAPTURE(memory_mb);
        auto const it = limits_for(with_limits(memory_mb, 0), many);
        auto const connections = it.readiness_connections.value();
        REQUIRE(connections >= 2);
        REQUIRE(connections <= 64);
        REQUIRE(connections * head_and_body <= it.readiness_memory.value());
    }
    REQUIRE(
        limits_for(with_limits(160, 0), many).readiness_connections.value() ==
        22);
}

// Guards against one kind of data that takes the memory of another.
TEST_CASE("control frames have a part of their own")
{
    auto const it = make_memory_account(limits_for(with_limits(160, 0), many));
    core::held_memory control(it.control_frames);
    control.resize(it.control_frames->limit());
    REQUIRE(it.frames->used() == core::byte_count(0));
    REQUIRE(it.requests->used() == core::byte_count(0));
    control.release();
    core::held_memory frames(it.frames);
    frames.resize(it.frames->limit());
    REQUIRE(it.control_frames->has_room(it.control_frames->limit()));
}
