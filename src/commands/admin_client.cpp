// Sends each request over a new connection.
#include "commands/admin_client.hpp"

#include <optional>
#include <ostream>
#include <sstream>

#include <boost/asio/io_context.hpp>
#include <fmt/ostream.h>

#include "commands/flags.hpp"
#include "core/endpoint.hpp"
#include "http/client_connection.hpp"
#include "http/query.hpp"

namespace yuccafall::commands {

namespace {

// Connecting to the node and waiting for its response are each limited to this
// time.
constexpr core::milliseconds admin_timeout{5'000};

std::string request_target(admin_request const& request)
{
    std::string out = request.path;
    char separator = '?';
    for (auto const& [name, value] : request.parameters)
    {
        out += separator + name + "=" + http::percent_encoded(value);
        separator = '&';
    }
    return out;
}

// Returns the body of the response.
core::result<std::string> http_get(core::endpoint const& node,
                                   std::string const& target)
{
    boost::asio::io_context context;
    auto const connection =
        std::make_shared<http::client_connection>(context.get_executor());
    std::optional<http::exchange_result> response;
    http::request message;
    message.method = "GET";
    message.target = target;
    message.headers.push_back({"Host", core::to_string(node)});
    core::result<void> connected;
    connection->connect(node, admin_timeout, [&](core::result<void> it) {
        connected = std::move(it);
        if (!connected)
        {
            return;
        }
        http::exchange_options options;
        options.timeout = admin_timeout;
        connection->exchange(http::serialize(message), std::move(options),
                             [&](http::exchange_result result) {
                                 response = std::move(result);
                             });
    });
    context.run();
    if (!connected)
    {
        return tl::unexpected(connected.error());
    }
    if (!*response)
    {
        return core::failure(core::error_kind::io, response->error().detail);
    }
    return std::move((*response)->body);
}

core::result<admin_response> parse_response(std::string const& node,
                                            std::string body)
{
    auto json = nlohmann::json::parse(body, nullptr, false);
    if (!json.is_object())
    {
        return core::failure(
            core::error_kind::io,
            fmt::format("node {} did not answer with a JSON object", node));
    }
    return admin_response{std::move(body), std::move(json)};
}

exit_code report_error(std::string const& detail, exit_code code,
                       output_streams& streams)
{
    fmt::print(streams.err, "yuccafall: {}\n", detail);
    return code;
}

} // namespace

core::result<admin_response> send_admin_request(std::string const& node,
                                                admin_request const& request)
{
    auto const address = core::parse_endpoint(node);
    if (!address)
    {
        return tl::unexpected(address.error());
    }
    auto body = http_get(*address, request_target(request));
    if (!body)
    {
        return core::failure(core::error_kind::io,
                             fmt::format("node {} did not answer: {}", node,
                                         body.error().detail));
    }
    return parse_response(node, std::move(*body));
}

exit_code run_admin_request(admin_request const& request,
                            response_printer print, output_streams& streams)
{
    auto const response = send_admin_request(FLAGS_node, request);
    if (!response)
    {
        bool const is_usage_error =
            response.error().kind == core::error_kind::bad_request;
        return report_error(response.error().detail,
                            is_usage_error ? exit_code::usage
                                           : exit_code::unavailable,
                            streams);
    }
    try
    {
        // The text is printed only after the whole response has been read, so
        // that an unexpected response prints nothing to the standard output.
        std::ostringstream text;
        auto const code = print(response->json, text);
        fmt::print(streams.out, "{}",
                   FLAGS_json ? response->body + "\n" : text.str());
        return code;
    }
    catch (nlohmann::json::exception const& e)
    {
        return report_error(
            fmt::format("node {} did not answer as expected: {}", FLAGS_node,
                        e.what()),
            exit_code::unavailable, streams);
    }
}

nlohmann::json const& array_at(nlohmann::json const& it, char const* key)
{
    auto const& array = it.at(key);
    array.get_ref<nlohmann::json::array_t const&>();
    return array;
}

std::string plain_text(nlohmann::json const& it)
{
    return it.is_string() ? it.get<std::string>() : it.dump();
}

} // namespace yuccafall::commands
