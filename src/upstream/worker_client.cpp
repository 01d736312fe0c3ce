// Sends requests over reused connections. A request is sent only once and is
// never retried here.
#include "upstream/worker_client.hpp"

#include <utility>

#include <boost/asio/post.hpp>
#include <fmt/format.h>

#include "core/overloaded.hpp"

namespace yuccafall::upstream {

namespace {

// A response that breaks off is invalid too, and is not told apart here from
// one that the worker has written wrongly.
bool is_connection_loss(http::failure_cause it)
{
    return it == http::failure_cause::closed_without_response ||
           it == http::failure_cause::invalid_response;
}

health_outcome
classify_health_response(http::response const& response,
                         metadata::header_codec const& header_codec)
{
    constexpr int first_status_not_successful = 300;
    if (response.status >= first_status_not_successful)
    {
        return health_unavailable{
            fmt::format("the worker reports status {}", response.status)};
    }
    auto const cold_remaining =
        header_codec.read_response_metadata(response).cold_remaining;
    if (!cold_remaining)
    {
        return health_unavailable{"the worker's cold time cannot be read",
                                  http::response_fault::field};
    }
    return health_response{*cold_remaining};
}

} // namespace

worker_client::worker_client(boost::asio::io_context& context,
                             core::endpoint endpoint,
                             metadata::header_codec header_codec,
                             worker_client_settings settings)
    : context_(context), endpoint_(std::move(endpoint)),
      header_codec_(header_codec), settings_(std::move(settings))
{}

std::shared_ptr<http::client_connection> worker_client::take_idle_connection()
{
    auto const now = core::boot_clock::now();
    while (!idle_connections_.empty())
    {
        auto it = std::move(idle_connections_.back());
        idle_connections_.pop_back();
        if (it.expires_at > now && it.connection->reusable())
        {
            return std::move(it.connection);
        }
        idle_connection_lost_ = idle_connection_lost_ || it.expires_at > now;
        it.connection->close();
    }
    return nullptr;
}

worker_run worker_client::start(http::request const& request,
                                core::request_id const& request_id,
                                core::milliseconds timeout,
                                outcome_handler done)
{
    http::exchange_options options;
    options.timeout = timeout;
    options.sizes.body = settings_.max_response_body;
    options.memory = settings_.response_memory;
    options.is_head_request = request.method == "HEAD";
    auto bytes = http::serialize(request);
    auto connection = take_idle_connection();
    // On a connection that has carried another request, a response without an
    // id may be a late or repeated one to that request. A refusal among those
    // would tell the caller that a request did not run which runs at this
    // moment.
    bool const needs_id = connection && !request_id.value().empty();
    options.matches_request = [request_id, needs_id,
                               read = header_codec_.read_response_metadata](
                                  http::response const& it) {
        auto const metadata = read(it);
        return metadata.request_id ? *metadata.request_id == request_id
                                   : !needs_id;
    };
    if (connection)
    {
        exchange(connection, std::move(bytes), std::move(options),
                 std::move(done));
        return worker_run(connection);
    }
    connection =
        std::make_shared<http::client_connection>(context_.get_executor());
    connection->connect(
        endpoint_, std::min(settings_.connect_timeout, timeout),
        [self = shared_from_this(), connection, bytes = std::move(bytes),
         options = std::move(options),
         done = std::move(done)](core::result<void> const& connected) mutable {
            if (!connected)
            {
                done(worker_unreachable{connected.error().detail});
                return;
            }
            self->exchange(connection, std::move(bytes), std::move(options),
                           std::move(done));
        });
    return worker_run(connection);
}

void worker_client::exchange(
    std::shared_ptr<http::client_connection> const& connection,
    std::string request_bytes, http::exchange_options options,
    outcome_handler done)
{
    connection->exchange(
        std::move(request_bytes), std::move(options),
        [self = shared_from_this(), connection,
         done = std::move(done)](http::exchange_result it) {
            if (!it)
            {
                done(worker_failed{it.error().cause,
                                   it.error().detail,
                                   {},
                                   is_connection_loss(it.error().cause),
                                   it.error().fault});
                return;
            }
            bool const keep_alive = it->keep_alive;
            auto outcome =
                classify_response(std::move(*it), self->header_codec_);
            auto const* metadata = metadata_of(outcome);
            if (metadata == nullptr)
            {
                connection->close();
            }
            else if (keep_alive)
            {
                self->keep_idle_connection(connection, *metadata);
            }
            done(std::move(outcome));
        });
}

void worker_client::keep_idle_connection(
    std::shared_ptr<http::client_connection> connection,
    metadata::response_metadata const& metadata)
{
    auto const stated_keep_alive =
        metadata.idle_timeout.value_or(core::milliseconds(0)) *
        static_cast<long>(settings_.keep_alive_share.value()) / 100;
    auto const idle_time = stated_keep_alive.count() > 0
                               ? stated_keep_alive
                               : settings_.default_keep_alive;
    if (idle_connections_.size() >= settings_.max_idle_connections)
    {
        idle_connections_.front().connection->close();
        idle_connections_.pop_front();
    }
    idle_connections_.push_back(
        {std::move(connection), core::boot_clock::now() + idle_time});
}

void worker_client::probe(std::function<void(bool)> done)
{
    auto const connection =
        std::make_shared<http::client_connection>(context_.get_executor());
    connection->connect(endpoint_, settings_.connect_timeout,
                        [self = shared_from_this(), connection,
                         done = std::move(done)](core::result<void> const& it) {
                            if (it)
                            {
                                self->keep_idle_connection(connection, {});
                            }
                            done(it.has_value());
                        });
}

void worker_client::request_health(std::string const& path,
                                   std::function<void(health_outcome)> done)
{
    http::request request;
    request.method = "GET";
    request.target = path;
    request.headers = {{"Host", core::to_string(endpoint_)}};
    auto const connection =
        std::make_shared<http::client_connection>(context_.get_executor());
    connection->connect(
        endpoint_, settings_.connect_timeout,
        [self = shared_from_this(), connection,
         bytes = http::serialize(request),
         done = std::move(done)](core::result<void> const& connected) mutable {
            if (!connected)
            {
                done(health_unavailable{connected.error().detail});
                return;
            }
            http::exchange_options options;
            options.timeout = self->settings_.health_timeout;
            options.sizes.body = self->settings_.max_response_body;
            connection->exchange(
                std::move(bytes), std::move(options),
                [self, connection,
                 done = std::move(done)](http::exchange_result it) {
                    if (!it)
                    {
                        done(health_unavailable{it.error().detail,
                                                it.error().fault});
                        return;
                    }
                    auto outcome =
                        classify_health_response(*it, self->header_codec_);
                    auto const* failed =
                        std::get_if<health_unavailable>(&outcome);
                    if (failed != nullptr && failed->fault)
                    {
                        connection->close();
                    }
                    else if (it->keep_alive)
                    {
                        self->keep_idle_connection(
                            connection,
                            self->header_codec_.read_response_metadata(*it));
                    }
                    done(std::move(outcome));
                });
        });
}

bool worker_client::discard_lost_idle_connections()
{
    auto const now = core::boot_clock::now();
    bool lost = std::exchange(idle_connection_lost_, false);
    while (!idle_connections_.empty() &&
           !idle_connections_.back().connection->reusable())
    {
        lost = lost || idle_connections_.back().expires_at > now;
        idle_connections_.back().connection->close();
        idle_connections_.pop_back();
    }
    return lost;
}

void worker_client::close()
{
    for (auto const& it : idle_connections_)
    {
        it.connection->close();
    }
    idle_connections_.clear();
}

} // namespace yuccafall::upstream
