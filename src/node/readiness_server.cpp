// Sets the limits of the readiness endpoint.
#include "node/readiness_server.hpp"

#include <utility>

namespace yuccafall::node {

namespace {

http::response make_response(int status)
{
    http::response it;
    it.status = status;
    return it;
}

} // namespace

core::result<std::shared_ptr<http::server>>
listen_for_readiness(boost::asio::io_context& context, core::endpoint const& at,
                     readiness_limits const& limits,
                     std::function<bool()> is_ready)
{
    auto opened = http::server::listen(
        context, at,
        [is_ready = std::move(is_ready)](
            std::shared_ptr<http::server_connection> const& connection,
            http::request const&) {
            connection->send_response(make_response(is_ready() ? 200 : 503));
        },
        [](core::error const& why) {
            return make_response(
                core::error_kind_info_for(why.kind).http_status);
        });
    if (!opened)
    {
        return opened;
    }
    auto settings = (*opened)->settings();
    settings.max_connections = limits.connections;
    settings.busy_connections_give_way = true;
    settings.sizes.body = max_readiness_body;
    settings.request_memory = limits.memory;
    (*opened)->set_settings(settings);
    return opened;
}

} // namespace yuccafall::node
