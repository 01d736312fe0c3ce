// Dispatch of the operators' requests.
#include "admin/admin_server.hpp"

#include <utility>

#include "admin/replies.hpp"
#include "admin/where_round.hpp"

namespace yuccafall::admin {

namespace {

constexpr char json_type[] = "application/json";
constexpr char metrics_type[] = "text/plain; version=0.0.4";

http::response body_of(std::string body, char const* type, int status = 200)
{
    http::response it;
    it.status = status;
    it.headers.push_back({"Content-Type", type});
    it.body = std::move(body);
    return it;
}

http::response status_only(int status)
{
    http::response it;
    it.status = status;
    return it;
}

std::string parameter(http::split_target const& from, std::string const& name)
{
    auto const found = from.parameters.find(name);
    return found == from.parameters.end() ? std::string() : found->second;
}

} // namespace

core::result<std::shared_ptr<admin_server>>
admin_server::listen(boost::asio::io_context& context, core::endpoint const& at,
                     admin_sources sources)
{
    auto it = std::make_shared<admin_server>(context, std::move(sources));
    auto opened = http::server::listen(
        context, at,
        [weak = std::weak_ptr(it)](connection const& caller,
                                   http::request const& message) {
            if (auto const self = weak.lock())
            {
                self->handle(caller, message);
            }
        },
        [](core::error const& why) {
            return status_only(core::error_response_for(why.kind).http_status);
        });
    if (!opened)
    {
        return tl::unexpected(opened.error());
    }
    it->server_ = std::move(*opened);
    return it;
}

void admin_server::handle(connection const& caller, http::request const& it)
{
    auto const target = http::parse_target(it.target);
    if (it.method != "GET")
    {
        caller->answer(status_only(405));
        return;
    }
    if (target.path == "/metrics")
    {
        caller->answer(body_of(metrics_body(sources_.state()), metrics_type));
        return;
    }
    if (target.path == "/status")
    {
        caller->answer(body_of(status_body(sources_.state()), json_type));
        return;
    }
    if (target.path == "/explain")
    {
        caller->answer(
            body_of(explain_body(sources_.state(), parameter(target, "method"),
                                 parameter(target, "url")),
                    json_type));
        return;
    }
    if (target.path == "/where")
    {
        where(caller, target);
        return;
    }
    caller->answer(status_only(404));
}

void admin_server::where(connection const& caller,
                         http::split_target const& target)
{
    auto const asked = http::parse_number(parameter(target, "revision"));
    auto const held = sources_.state().control.version;
    auto const version = asked ? core::configuration_version(*asked) : held;
    caller->on_gone([] {});
    std::make_shared<where_round>(
        context_, sources_.nodes(),
        [caller, version](std::vector<node_answer> const& answers) {
            caller->answer(body_of(where_body(version, answers), json_type));
        })
        ->start();
}

} // namespace yuccafall::admin
