// Dispatches the requests to the admin endpoint by their path.
#include "admin/admin_server.hpp"

#include <utility>

#include "admin/response_bodies.hpp"
#include "admin/status_collector.hpp"

namespace yuccafall::admin {

namespace {

constexpr char json_type[] = "application/json";
constexpr char metrics_type[] = "text/plain; version=0.0.4";

http::response make_response(std::string body, char const* type,
                             int status = 200)
{
    http::response it;
    it.status = status;
    it.headers.push_back({"Content-Type", type});
    it.body = std::move(body);
    return it;
}

http::response make_empty_response(int status)
{
    http::response it;
    it.status = status;
    return it;
}

std::string get_parameter(http::parsed_target const& from,
                          std::string const& name)
{
    auto const found = from.parameters.find(name);
    return found == from.parameters.end() ? std::string() : found->second;
}

} // namespace

core::result<std::shared_ptr<admin_server>>
admin_server::listen(boost::asio::io_context& context, core::endpoint const& at,
                     admin_sources sources, admin_limits const& limits)
{
    auto it = std::make_shared<admin_server>(context, std::move(sources));
    auto opened = http::server::listen(
        context, at,
        [weak = std::weak_ptr(it)](connection const& client,
                                   http::request const& message) {
            if (auto const self = weak.lock())
            {
                self->handle(client, message);
            }
        },
        [](core::error const& why) {
            return make_empty_response(
                core::error_kind_info_for(why.kind).http_status);
        });
    if (!opened)
    {
        return tl::unexpected(opened.error());
    }
    it->server_ = std::move(*opened);
    auto settings = it->server_->settings();
    settings.max_connections = limits.connections;
    settings.request_memory = limits.memory;
    settings.response_memory = limits.memory;
    it->server_->set_settings(settings);
    return it;
}

void admin_server::handle(connection const& client, http::request const& it)
{
    auto const target = http::parse_target(it.target);
    if (it.method != "GET")
    {
        client->send_response(make_empty_response(405));
        return;
    }
    if (target.path == "/metrics")
    {
        auto state = sources_.state();
        state.invalid_status_responses = invalid_status_responses_;
        client->send_response(make_response(metrics_body(state), metrics_type));
        return;
    }
    if (target.path == "/status")
    {
        client->send_response(
            make_response(status_body(sources_.state()), json_type));
        return;
    }
    if (target.path == "/explain")
    {
        client->send_response(make_response(
            explain_body(sources_.state(), get_parameter(target, "method"),
                         get_parameter(target, "url")),
            json_type));
        return;
    }
    if (target.path == "/where")
    {
        handle_where(client, target);
        return;
    }
    if (target.path == "/configuration")
    {
        handle_configuration(client);
        return;
    }
    client->send_response(make_empty_response(404));
}

void admin_server::handle_configuration(connection const& client)
{
    auto it = sources_.configuration();
    client->send_response(
        it ? make_response(std::move(*it), json_type)
           : make_response(configuration_missing_body(), json_type, 503));
}

void admin_server::handle_where(connection const& client,
                                http::parsed_target const& target)
{
    auto const requested =
        http::parse_number(get_parameter(target, "revision"));
    auto const current = sources_.state().control.version;
    auto const version =
        requested ? core::configuration_version(*requested) : current;
    // The response is sent later, so the connection needs a disconnect handler.
    client->on_disconnect([] {});
    std::make_shared<status_collector>(
        context_, sources_.nodes(), invalid_status_responses_,
        [client, version](std::vector<node_status> const& statuses) {
            client->send_response(
                make_response(where_body(version, statuses), json_type));
        })
        ->start();
}

} // namespace yuccafall::admin
