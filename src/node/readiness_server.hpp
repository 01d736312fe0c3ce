// Answers the platform's check whether the node takes callers, also while
// others use up the node's memory or keep connections to this endpoint.
#ifndef YUCCAFALL_NODE_READINESS_SERVER_HPP
#define YUCCAFALL_NODE_READINESS_SERVER_HPP

#include <functional>
#include <memory>

#include <boost/asio/io_context.hpp>

#include "core/endpoint.hpp"
#include "core/error.hpp"
#include "core/memory_part.hpp"
#include "core/units.hpp"
#include "http/server.hpp"

namespace yuccafall::node {

// A check has no body. One that has a longer one than this is refused (413).
inline constexpr core::byte_count max_readiness_body{16UL * 1024};

struct readiness_limits
{
    core::connection_count connections;
    // Counts the requests. Must not be used on another thread.
    std::shared_ptr<core::memory_part> memory;
};

// Answers each request with 200 if the node is ready, else with 503. Fails with
// io if the endpoint cannot be bound. The function is called on the thread that
// runs the context.
core::result<std::shared_ptr<http::server>>
listen_for_readiness(boost::asio::io_context& context, core::endpoint const& at,
                     readiness_limits const& limits,
                     std::function<bool()> is_ready);

} // namespace yuccafall::node

#endif
