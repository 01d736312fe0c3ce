// Limits of an HTTP server and of its connections.
#ifndef YUCCAFALL_HTTP_SERVER_SETTINGS_HPP
#define YUCCAFALL_HTTP_SERVER_SETTINGS_HPP

#include <cstdint>
#include <memory>

#include "core/memory_part.hpp"
#include "core/units.hpp"
#include "http/readers.hpp"
#include "transport/paced_link.hpp"

namespace yuccafall::http {

struct server_settings
{
    size_limits sizes;
    // Limits the time from the first byte of a request's head to the end of the
    // head, and the time between two received parts of the body.
    // min_transfer_rate limits the time of the whole body.
    core::milliseconds head_timeout{3'000};
    // Limits the time that a connection stays open without a request.
    core::milliseconds idle_timeout{15'000};
    // When this many connections are open, an idle one is closed for each new
    // one.
    core::connection_count max_connections{2'000};
    // If no connection is idle, one within a request or a response is closed
    // for a new one: the one that has received no part of a request and begun
    // no response for longest.
    bool busy_connections_give_way = false;
    // Counts the memory that requests take, including those that are still
    // arriving. A request that has no room is rejected, and the rest of it is
    // not kept.
    std::shared_ptr<core::memory_part> request_memory =
        std::make_shared<core::memory_part>(
            core::byte_count(48UL * 1024 * 1024));
    // Counts the memory of responses until they are written. To make room for a
    // new response, it ends those whose readers are the slowest. Null if
    // responses are not limited.
    std::shared_ptr<core::memory_part> response_memory;
    // A caller that reads a response, or sends a body, at less than this rate
    // on average over transfer_window loses its connection. 0 disables this.
    core::bytes_per_second min_transfer_rate{1'000};
    // Longer than a client on a line of a few kilobytes per second needs for
    // the largest step in which its kernel acknowledges data (64 kB).
    core::milliseconds transfer_window{30'000};
    // A request whose caller has already left, or has closed its sending side,
    // is dropped. Otherwise it is handled, since its response may still be
    // read.
    bool drops_abandoned_requests = false;
    // Responses that are longer than transport::max_unpaced_message are sent in
    // parts that this link grants. Null if responses are sent at once.
    std::shared_ptr<transport::paced_link> link;

    // Returns how much must be transferred within transfer_window.
    core::byte_count min_transfer() const
    {
        return core::byte_count(
            min_transfer_rate.value() *
            static_cast<std::uint64_t>(transfer_window.count()) / 1000);
    }
};

} // namespace yuccafall::http

#endif
