// Sends requests to the local worker, the one beside this node, and keeps idle
// connections to it for reuse.
#ifndef YUCCAFALL_UPSTREAM_WORKER_CLIENT_HPP
#define YUCCAFALL_UPSTREAM_WORKER_CLIENT_HPP

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <variant>

#include <boost/asio/io_context.hpp>

#include "core/endpoint.hpp"
#include "core/units.hpp"
#include "http/client_connection.hpp"
#include "metadata/header_codec.hpp"
#include "upstream/worker_outcome.hpp"

namespace yuccafall::upstream {

// The worker's health response.
struct health_response
{
    // How much longer the worker is cold, or zero.
    core::milliseconds cold_remaining{0};
};
// No response arrived, or it states that the worker is ill, or it cannot be
// read.
struct health_unavailable
{
    std::string reason;
    // Why the response is not used, if one has arrived at least in part.
    std::optional<http::response_fault> fault = std::nullopt;
};
using health_outcome = std::variant<health_response, health_unavailable>;

struct worker_client_settings
{
    core::milliseconds connect_timeout{600};
    // Time for a health response, which the worker gives without waiting.
    core::milliseconds health_timeout{600};
    // An idle connection is kept for this long if the worker states no
    // keep-alive time.
    core::milliseconds default_keep_alive{4'000};
    // An idle connection is kept for this percentage of the keep-alive time
    // that the worker states, since the worker may close it a little early.
    core::percentage keep_alive_share{75};
    std::size_t max_idle_connections = 32;
    // A larger response is a failure, so that a faulty worker cannot use up the
    // memory of the node.
    core::byte_count max_response_body{8UL * 1024 * 1024};
    // Counts the responses while they arrive. May be null.
    std::shared_ptr<core::memory_part> response_memory;
};

// Handle to one request at the worker. Its destruction does not end the
// request.
class worker_run
{
public:
    explicit worker_run(std::shared_ptr<http::client_connection> connection)
        : connection_(std::move(connection))
    {}

    // Aborts the request by closing its connection, so that the worker can
    // notice.
    void abort() { connection_->close(); }

private:
    std::shared_ptr<http::client_connection> connection_;
};

// Not thread-safe: each object is used on one thread only.
class worker_client : public std::enable_shared_from_this<worker_client>
{
public:
    using outcome_handler = std::function<void(worker_outcome)>;

    worker_client(boost::asio::io_context& context, core::endpoint endpoint,
                  metadata::header_codec header_codec,
                  worker_client_settings settings = {});

    // Sends the request over an idle or a new connection. The handler is called
    // asynchronously with the outcome, never from within start().
    worker_run start(http::request const& request,
                     core::request_id const& request_id,
                     core::milliseconds timeout, outcome_handler done);

    // Opens a connection to the worker and reports whether the worker accepts
    // it.
    void probe(std::function<void(bool)> done);

    // Requests a health response over a new connection, so that the response
    // comes from the worker that accepts connections now and cannot be a late
    // one to another request. The handler is called asynchronously.
    void request_health(std::string const& path,
                        std::function<void(health_outcome)> done);

    // Discards the idle connections that cannot be used again, up to the one
    // that would be used next. Returns whether the worker has closed a
    // connection since the last call of this function that had not been idle
    // for long. A worker that crashes closes all its connections.
    bool discard_lost_idle_connections();

    void close();

private:
    struct idle_connection
    {
        std::shared_ptr<http::client_connection> connection;
        core::instant expires_at;
    };

    // Returns a connection that can be used again, or null if there is none.
    std::shared_ptr<http::client_connection> take_idle_connection();
    void exchange(std::shared_ptr<http::client_connection> const& connection,
                  std::string request_bytes, http::exchange_options options,
                  outcome_handler done);
    void
    keep_idle_connection(std::shared_ptr<http::client_connection> connection,
                         metadata::response_metadata const& metadata);

    boost::asio::io_context& context_;
    core::endpoint endpoint_;
    metadata::header_codec header_codec_;
    worker_client_settings settings_;
    // Invariant: the most recently used connection is at the back.
    std::deque<idle_connection> idle_connections_;
    // True if the worker has closed a connection that was to be used.
    bool idle_connection_lost_ = false;
};

} // namespace yuccafall::upstream

#endif
