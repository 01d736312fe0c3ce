// Opens one connection to each node and reads its /status.
#include "admin/status_collector.hpp"

#include "core/log.hpp"

namespace yuccafall::admin {

namespace {

// With this limit, it takes a few seconds to collect the status of 5,500 nodes.
constexpr std::size_t max_concurrent_requests = 64;
constexpr core::milliseconds request_timeout{1'500};
constexpr int successful_status = 200;

} // namespace

status_collector::status_collector(boost::asio::io_context& context,
                                   std::vector<node_address> nodes,
                                   fault_counters invalid_responses,
                                   handler done)
    : context_(context), nodes_(std::move(nodes)),
      invalid_responses_(std::move(invalid_responses)),
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
                    self->on_result(index, it);
                    connection->close();
                    self->on_request_ended();
                });
        });
}

void status_collector::on_result(std::size_t index,
                                 http::exchange_result const& it)
{
    if (!it)
    {
        if (it.error().fault)
        {
            reject_response(index, *it.error().fault, it.error().detail);
        }
        return;
    }
    auto status = parse_status(it->body);
    if (it->status != successful_status || !status)
    {
        reject_response(index, http::response_fault::body,
                        "the response is not the status of a node");
        return;
    }
    statuses_[index] = std::move(*status);
}

void status_collector::reject_response(std::size_t index,
                                       http::response_fault fault,
                                       std::string const& detail)
{
    invalid_responses_->record(fault);
    if (core::admit_request_line(core::request_event::exceptional))
    {
        core::log_event(core::log_level::warning, "status_response_invalid",
                        {{"node", statuses_[index].name},
                         {"fault", to_string(fault)},
                         {"reason", detail}});
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
