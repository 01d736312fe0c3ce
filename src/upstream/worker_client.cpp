// Sends requests over reused connections. A request is sent only once and is
// never retried here.
#include "upstream/worker_client.hpp"

#include <utility>

#include <boost/asio/post.hpp>

#include "core/overloaded.hpp"

namespace yuccafall::upstream {

namespace {

// Each of these status codes tells the caller that the request did not run. A
// worker's response that carries such a code without stating that the request
// did not run counts as a failure, since the code may be wrong.
bool implies_not_run(int status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

} // namespace

worker_outcome classify_response(http::response response,
                                 metadata::header_codec const& header_codec)
{
    auto metadata = header_codec.read_response_metadata(response);
    if (metadata.not_run || metadata.wrong_worker)
    {
        return worker_rejected{std::move(metadata)};
    }
    auto const broken_response = [&](std::string reason) {
        return worker_failed{http::failure_cause::invalid_response,
                             std::move(reason), metadata.load};
    };
    if (http::find_header(response.headers, "content-encoding") != nullptr)
    {
        // The request did not ask for a content encoding.
        return broken_response(
            "the worker's response has an unrequested content encoding");
    }
    if (response.status < 300 && !metadata.has_signature)
    {
        return broken_response(
            "the worker's success response carries no signature");
    }
    if (implies_not_run(response.status))
    {
        return broken_response(
            "the worker's status code implies that the request did "
            "not run, but its response does not state so");
    }
    return worker_answered{std::move(response), std::move(metadata)};
}

worker_client::worker_client(boost::asio::io_context& context,
                             core::endpoint endpoint,
                             metadata::header_codec header_codec,
                             worker_client_settings settings)
    : context_(context), endpoint_(std::move(endpoint)),
      header_codec_(header_codec), settings_(settings)
{}

std::shared_ptr<http::client_connection> worker_client::take_idle()
{
    auto const now = core::boot_clock::now();
    while (!idle_.empty())
    {
        auto it = std::move(idle_.back());
        idle_.pop_back();
        if (it.expires_at > now && it.connection->reusable())
        {
            return std::move(it.connection);
        }
        it.connection->close();
    }
    return nullptr;
}

worker_run worker_client::start(http::request const& message,
                                core::request_id const& request,
                                core::milliseconds timeout, handler done)
{
    http::exchange_options options;
    options.timeout = timeout;
    options.is_head_request = message.method == "HEAD";
    options.matches_request = [request,
                               read = header_codec_.read_response_metadata](
                                  http::response const& it) {
        auto const metadata = read(it);
        return !metadata.request_id || *metadata.request_id == request;
    };
    auto bytes = http::serialize(message);
    auto connection = take_idle();
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
    std::string message, http::exchange_options options, handler done)
{
    connection->exchange(
        std::move(message), std::move(options),
        [self = shared_from_this(), connection,
         done = std::move(done)](http::exchange_result it) {
            if (!it)
            {
                done(worker_failed{it.error().cause, it.error().detail, {}});
                return;
            }
            if (it->keep_alive)
            {
                self->keep_idle(
                    connection,
                    self->header_codec_.read_response_metadata(*it));
            }
            done(classify_response(std::move(*it), self->header_codec_));
        });
}

void worker_client::keep_idle(
    std::shared_ptr<http::client_connection> connection,
    metadata::response_metadata const& metadata)
{
    auto const stated = metadata.idle_timeout.value_or(core::milliseconds(0)) *
                        static_cast<long>(settings_.keep_alive_share.value()) /
                        100;
    auto const limit =
        stated.count() > 0 ? stated : settings_.default_keep_alive;
    if (idle_.size() >= settings_.max_idle_connections)
    {
        idle_.front().connection->close();
        idle_.pop_front();
    }
    idle_.push_back({std::move(connection), core::boot_clock::now() + limit});
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
                                self->keep_idle(connection, {});
                            }
                            done(it.has_value());
                        });
}

void worker_client::close()
{
    for (auto const& it : idle_)
    {
        it.connection->close();
    }
    idle_.clear();
}

} // namespace yuccafall::upstream
