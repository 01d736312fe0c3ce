// Opens one connection to each node and reads its /status.
#include "admin/status_collector.hpp"

#include "http/client_connection.hpp"

namespace yuccafall::admin {

namespace {

// With this limit, it takes a few seconds to collect the status of 5,500 nodes.
constexpr std::size_t max_concurrent_requests = 64;
constexpr core::milliseconds request_timeout{1'500};

} // namespace

status_collector::status_collector(boost::asio::io_context& context,
                                   std::vector<node_address> nodes,
                                   handler done)
    : context_(context), nodes_(std::move(nodes)),
      completion_handler_(std::move(done)), statuses_(nodes_.size())
{
    for (std::size_t i = 0; i < nodes_.size(); ++i)
    {
        statuses_[i].data_centre = nodes_[i].data_centre;
        statuses_[i].name = core::to_string(nodes_[i].admin_endpoint);
    }
}

void status_collector::start()
{
    if (nodes_.empty())
    {
        completion_handler_({});
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
            message.headers.push_back({"Host", self->statuses_[index].name});
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
        statuses_[index] = std::move(*it);
    }
}

void status_collector::on_request_ended()
{
    ++completed_requests_;
    if (next_node_ < nodes_.size())
    {
        request_next_status();
        return;
    }
    if (completed_requests_ == nodes_.size())
    {
        completion_handler_(std::move(statuses_));
    }
}

} // namespace yuccafall::admin
