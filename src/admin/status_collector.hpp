// Collects the status of all nodes, with a limited number of concurrent
// requests.
#ifndef YUCCAFALL_ADMIN_STATUS_COLLECTOR_HPP
#define YUCCAFALL_ADMIN_STATUS_COLLECTOR_HPP

#include <functional>
#include <memory>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "admin/admin_server.hpp"
#include "admin/response_bodies.hpp"
#include "http/client_connection.hpp"

namespace yuccafall::admin {

// The handler is called exactly once, with one entry for each node.
class status_collector : public std::enable_shared_from_this<status_collector>
{
public:
    using handler = std::function<void(std::vector<node_status>)>;

    // Counts the responses that are not used.
    using fault_counters = std::shared_ptr<http::response_fault_counters>;

    status_collector(boost::asio::io_context& context,
                     std::vector<node_address> nodes,
                     fault_counters invalid_responses, handler done);

    void start();

private:
    void request_next_status();
    void on_result(std::size_t index, http::exchange_result const& it);
    void reject_response(std::size_t index, http::response_fault fault,
                         std::string const& detail);
    void on_request_ended();

    boost::asio::io_context& context_;
    std::vector<node_address> nodes_;
    fault_counters invalid_responses_;
    handler completion_handler_;
    std::vector<node_status> statuses_;
    std::size_t next_node_ = 0;
    std::size_t completed_requests_ = 0;
};

} // namespace yuccafall::admin

#endif
