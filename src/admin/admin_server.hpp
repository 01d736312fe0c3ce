// Serves the admin endpoint of a node: /metrics, /status, /explain, /where
// and /configuration.
#ifndef YUCCAFALL_ADMIN_ADMIN_SERVER_HPP
#define YUCCAFALL_ADMIN_ADMIN_SERVER_HPP

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "admin/node_state.hpp"
#include "http/query.hpp"
#include "http/server.hpp"

namespace yuccafall::admin {

// Where the admin endpoint of a node is.
struct node_address
{
    core::endpoint admin_endpoint;
    core::data_centre data_centre;
};

// Functions that return the data that the admin endpoint reports.
struct admin_sources
{
    std::function<node_state()> state;
    // Returns all known nodes, including this one.
    std::function<std::vector<node_address>()> nodes;
    // Returns the text of the configuration in force as the store holds it, or
    // nothing if the node does not hold it.
    std::function<std::optional<std::string>()> configuration;
};

// What operators can make a node hold.
struct admin_limits
{
    // When this many connections are open, an idle one is closed for each new
    // one.
    core::connection_count connections;
    // Counts requests and responses. When it is full, requests are answered
    // 503, and the slowest readers of responses are ended. It must be used on
    // the thread of the server.
    std::shared_ptr<core::memory_part> memory;
};

// Each instance must be used only on the thread that runs its io_context, which
// is the control thread.
class admin_server : public std::enable_shared_from_this<admin_server>
{
public:
    static core::result<std::shared_ptr<admin_server>>
    listen(boost::asio::io_context& context, core::endpoint const& at,
           admin_sources sources, admin_limits const& limits);

    admin_server(boost::asio::io_context& context, admin_sources sources)
        : context_(context), sources_(std::move(sources))
    {}

    core::endpoint local() const { return server_->local(); }
    void stop() { server_->stop(); }

private:
    using connection = std::shared_ptr<http::server_connection>;

    void handle(connection const& client, http::request const& it);
    void handle_configuration(connection const& client);
    void handle_where(connection const& client,
                      http::parsed_target const& target);

    boost::asio::io_context& context_;
    admin_sources sources_;
    // Counts the responses of nodes to requests for their status.
    std::shared_ptr<http::response_fault_counters> invalid_status_responses_ =
        std::make_shared<http::response_fault_counters>();
    std::shared_ptr<http::server> server_;
};

} // namespace yuccafall::admin

#endif
