// One request on a connection of its own.
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

constexpr core::milliseconds longest_wait{5'000};

std::string target_of(admin_query const& query)
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

core::result<std::string> get(core::endpoint const& node,
                              std::string const& target)
{
    boost::asio::io_context context;
    auto const connection =
        std::make_shared<http::client_connection>(context.get_executor());
    std::optional<http::exchange_result> outcome;
    http::request message;
    message.method = "GET";
    message.target = target;
    message.headers.push_back({"Host", core::to_string(node)});
    core::result<void> connected;
    connection->connect(node, longest_wait, [&](core::result<void> it) {
        connected = std::move(it);
        if (!connected)
        {
            return;
        }
        http::exchange_options terms;
        terms.timeout = longest_wait;
        connection->exchange(
            http::serialize(message), std::move(terms),
            [&](http::exchange_result r) { outcome = std::move(r); });
    });
    context.run();
    if (!connected)
    {
        return tl::unexpected(connected.error());
    }
    if (!*outcome)
    {
        return core::failure(core::error_kind::io, outcome->error().detail);
    }
    return std::move((*outcome)->body);
}

core::result<admin_answer> parsed(std::string const& node, std::string body)
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

exit_code failed(std::string const& detail, exit_code code, terminal& to)
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
    auto body = get(*address, target_of(query));
    if (!body)
    {
        return core::failure(core::error_kind::io,
                             fmt::format("node {} did not answer: {}", node,
                                         body.error().detail));
    }
    return parsed(node, std::move(*body));
}

exit_code run_query(admin_query const& query, answer_printer print,
                    terminal& to)
{
    auto const answer = ask_node(FLAGS_node, query);
    if (!answer)
    {
        bool const is_usage =
            answer.error().kind == core::error_kind::bad_request;
        return failed(answer.error().detail,
                      is_usage ? exit_code::usage : exit_code::unavailable, to);
    }
    try
    {
        // Nothing is printed of an answer that is only in part as expected.
        std::ostringstream text;
        auto const code = print(answer->json, text);
        fmt::print(to.out, "{}", FLAGS_json ? answer->body + "\n" : text.str());
        return code;
    }
    catch (nlohmann::json::exception const& e)
    {
        return failed(fmt::format("node {} did not answer as expected: {}",
                                  FLAGS_node, e.what()),
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
