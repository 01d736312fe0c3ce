// Derives the limits from the settings.
#include "node/resource_limits.hpp"

#include <sys/resource.h>

#include <algorithm>
#include <memory>

namespace yuccafall::node {

namespace {

// Requests that are held in memory may use one fifth of the memory limit,
// because bodies are copied on their way to the worker.
constexpr std::uint64_t request_memory_divisor = 5;
// Larger than the memory of requests, so that a frame with the largest body has
// room beside others.
constexpr std::uint64_t frame_memory_divisor = 4;
// Room for 16 frames of 500 kB on the smallest VM (160 MB), since a node sends
// the changes to up to 16 others. Changes are compressed.
constexpr std::uint64_t control_frame_memory_divisor = 16;
// Operators' requests have no bodies, and the longest response lists all nodes.
constexpr std::uint64_t operator_memory_divisor = 64;
// Has room for the requests of all readiness connections.
constexpr std::uint64_t readiness_memory_divisor = 128;
constexpr std::uint64_t response_memory_divisor = 4;
constexpr std::uint64_t worker_memory_divisor = 5;
// Largest response of a worker as a share of the memory limit. A worker runs
// several calls at a time, and a response is copied on its way to the caller.
constexpr std::uint64_t max_response_divisor = 20;
// What a frame with a response holds beside the body.
constexpr std::uint64_t max_response_head = 64UL * 1024;
// Idle connections may take this share of the memory limit at most.
constexpr std::uint64_t connection_memory_divisor = 4;
// Memory of one connection without a request, most of which is its read buffer.
constexpr std::uint64_t connection_size = 10UL * 1024;

// The platform uses these of the process's descriptors.
constexpr std::uint64_t reserved_descriptors = 200;
// Shares of the others in percent. The rest is for links to other nodes, the
// worker, the store and the platform's readiness checks.
constexpr std::uint64_t caller_descriptors = 60;
constexpr std::uint64_t session_descriptors = 20;
constexpr std::uint64_t operator_descriptors = 5;
constexpr std::uint64_t max_descriptors = 1'000'000;
// Limits that apply however many descriptors there are.
constexpr std::uint64_t max_caller_connections = 20'000;
constexpr std::uint64_t max_sessions = 4'096;
// Operators' tools and the nodes that collect the status of all nodes open one
// connection each.
constexpr std::uint64_t max_operator_connections = 256;
// The platform's checks need one or two.
constexpr std::uint64_t min_readiness_connections = 2;
constexpr std::uint64_t max_readiness_connections = 64;
// The most that a readiness connection holds: a head, a body and what is read
// ahead, of 16 kB each, and one read of 8 kB.
constexpr std::uint64_t readiness_connection_size = 56UL * 1024;

core::byte_count share_of(core::byte_count memory, std::uint64_t divisor)
{
    return core::byte_count(memory.value() / divisor);
}

core::connection_count limited(std::uint64_t count, std::uint64_t limit)
{
    return core::connection_count(
        static_cast<std::uint32_t>(std::min(count, limit)));
}

} // namespace

resource_limits limits_for(settings const& it, descriptor_count descriptors)
{
    auto const stated = it.max_descriptors.value() > 0
                            ? std::min(it.max_descriptors, descriptors)
                            : descriptors;
    // A process without a limit gets no more connections than this allows.
    auto const allowed = std::min(stated.value(), max_descriptors);
    auto const sockets = allowed - std::min(reserved_descriptors, allowed / 2);
    auto const connections_in_memory =
        it.memory_limit.value() / connection_memory_divisor / connection_size;
    resource_limits out;
    out.request_memory = share_of(it.memory_limit, request_memory_divisor);
    out.response_memory = share_of(it.memory_limit, response_memory_divisor);
    out.worker_memory = share_of(it.memory_limit, worker_memory_divisor);
    out.frame_memory = share_of(it.memory_limit, frame_memory_divisor);
    out.max_response = share_of(it.memory_limit, max_response_divisor);
    out.frame_reserve =
        core::byte_count(out.max_response.value() + max_response_head);
    out.control_frame_memory =
        share_of(it.memory_limit, control_frame_memory_divisor);
    out.operator_memory = share_of(it.memory_limit, operator_memory_divisor);
    out.caller_connections = limited(
        std::min(sockets * caller_descriptors / 100, connections_in_memory),
        max_caller_connections);
    out.peer_sessions =
        limited(sockets * session_descriptors / 100, max_sessions);
    out.operator_connections =
        limited(sockets * operator_descriptors / 100, max_operator_connections);
    out.readiness_memory = share_of(it.memory_limit, readiness_memory_divisor);
    out.readiness_connections = limited(
        std::max(out.readiness_memory.value() / readiness_connection_size,
                 min_readiness_connections),
        max_readiness_connections);
    return out;
}

core::memory_account make_memory_account(resource_limits const& it)
{
    auto const make_part = [](auto... sizes) {
        return std::make_shared<core::memory_part>(sizes...);
    };
    core::memory_account out;
    out.requests = make_part(it.request_memory);
    out.responses = make_part(it.response_memory);
    out.worker_responses = make_part(it.worker_memory);
    out.frames = make_part(it.frame_memory, it.frame_reserve);
    out.control_frames = make_part(it.control_frame_memory);
    out.operators = make_part(it.operator_memory);
    out.readiness = make_part(it.readiness_memory);
    return out;
}

descriptor_count descriptor_limit()
{
    rlimit it{};
    // getrlimit() fails only if its arguments are invalid.
    ::getrlimit(RLIMIT_NOFILE, &it);
    return descriptor_count(it.rlim_cur);
}

} // namespace yuccafall::node
