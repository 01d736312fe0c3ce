// Opens one connection to each node and reads its /status.
#include "admin/status_collector.hpp"

#include "http/client_connection.hpp"

namespace yuccafall::admin {

namespace {

// With this limit, a round over 5,500 nodes takes a few seconds.
constexpr std::size_t max_concurrent_requests = 64;
constexpr core::milliseconds request_timeout{1'500};

} // namespace

status_collector::status_collector(boost::asio::io_context& context,
                                   std::vector<node_address> nodes,
                                   handler done)
    : context_(context), nodes_(std::move(nodes)), handler_(std::move(done)),
      results_(nodes_.size())
{
    for (std::size_t i = 0; i < nodes_.size(); ++i)
    {
        results_[i].data_centre = nodes_[i].data_centre;
        results_[i].name = core::to_string(nodes_[i].admin_endpoint);
    }
}

void status_collector::start()
{
    if (nodes_.empty())
    {
        handler_({});
        return;
    }
    for (std::size_t i = 0;
         i < max_concurrent_requests && next_node_ < nodes_.size(); ++i)
    {
        request_next_status();
    }
}

void status_collector::request_next_status()
{
    auto const index = next_node_++;
    auto const connection =
        std::make_shared<http::client_connection>(context_.get_executor());
    auto const self = shared_from_this();
    connection->connect(
        nodes_[index].admin_endpoint, request_timeout,
        [self, index, connection](core::result<void> const& connected) {
            if (!connected)
            {
                self->on_request_ended();
                return;
            }
            http::request message;
            message.method = "GET";
            message.target = "/status";
            message.headers.push_back({"Host", self->results_[index].name});
            http::exchange_options options;
            options.timeout = request_timeout;
            connection->exchange(
                http::serialize(message), std::move(options),
                [self, index, connection](http::exchange_result const& it) {
                    if (it)
                    {
                        self->on_response(index, it->body);
                    }
                    connection->close();
                    self->on_request_ended();
                });
        });
}

void status_collector::on_response(std::size_t index, std::string const& body)
{
    if (auto it = parse_status(body))
    {
        results_[index] = std::move(*it);
    }
}

void status_collector::on_request_ended()
{
    ++completed_;
    if (next_node_ < nodes_.size())
    {
        request_next_status();
        return;
    }
    if (completed_ == nodes_.size())
    {
        handler_(std::move(results_));
    }
}

} // namespace yuccafall::admin
