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

std::string request_target(admin_query const& query)
{
    std::string out = query.path;
    char separator = '?';
    for (auto const& [name, value] : query.parameters)
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
        http::exchange_terms terms;
        terms.timeout = admin_timeout;
        connection->exchange(http::serialize(message), std::move(terms),
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

core::result<admin_answer> parse_response(std::string const& node,
                                          std::string body)
{
    auto json = nlohmann::json::parse(body, nullptr, false);
    if (!json.is_object())
    {
        return core::failure(
            core::error_kind::io,
            fmt::format("node {} did not answer with a JSON object", node));
    }
    return admin_answer{std::move(body), std::move(json)};
}

exit_code report_error(std::string const& detail, exit_code code, terminal& to)
{
    fmt::print(to.err, "yuccafall: {}\n", detail);
    return code;
}

} // namespace

core::result<admin_answer> ask_node(std::string const& node,
                                    admin_query const& query)
{
    auto const address = core::parse_endpoint(node);
    if (!address)
    {
        return tl::unexpected(address.error());
    }
    auto body = http_get(*address, request_target(query));
    if (!body)
    {
        return core::failure(core::error_kind::io,
                             fmt::format("node {} did not answer: {}", node,
                                         body.error().detail));
    }
    return parse_response(node, std::move(*body));
}

exit_code run_query(admin_query const& query, answer_printer print,
                    terminal& to)
{
    auto const answer = ask_node(FLAGS_node, query);
    if (!answer)
    {
        bool const is_usage_error =
            answer.error().kind == core::error_kind::bad_request;
        return report_error(
            answer.error().detail,
            is_usage_error ? exit_code::usage : exit_code::unavailable, to);
    }
    try
    {
        // The text is printed only after the whole response has been read, so
        // that an unexpected response prints nothing to the standard output.
        std::ostringstream text;
        auto const code = print(answer->json, text);
        fmt::print(to.out, "{}", FLAGS_json ? answer->body + "\n" : text.str());
        return code;
    }
    catch (nlohmann::json::exception const& e)
    {
        return report_error(
            fmt::format("node {} did not answer as expected: {}", FLAGS_node,
                        e.what()),
            exit_code::unavailable, to);
    }
}

nlohmann::json const& rows_of(nlohmann::json const& it, char const* key)
{
    auto const& rows = it.at(key);
    rows.get_ref<nlohmann::json::array_t const&>();
    return rows;
}

std::string plain_text(nlohmann::json const& it)
{
    return it.is_string() ? it.get<std::string>() : it.dump();
}

} // namespace yuccafall::commands
