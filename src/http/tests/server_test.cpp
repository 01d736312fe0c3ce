// Tests the server over real connections.
#include <memory>
#include <optional>
#include <string>

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

#include "http/client_connection.hpp"
#include "http/server.hpp"

using namespace yuccafall;
using namespace yuccafall::http;
using core::milliseconds;

namespace {

// The time limit only ends a test that fails.
constexpr milliseconds test_timeout{10'000};

// A server that responds to each request with its target, and one connection to
// it that is kept open.
class kept_connection
{
public:
    kept_connection()
    {
        server_ =
            server::listen(
                context_, {core::ip_address("127.0.0.1"), core::port_number(0)},
                [](std::shared_ptr<server_connection> const& caller,
                   request const& it) {
                    response out;
                    out.status = 200;
                    out.body = it.target;
                    caller->send_response(out);
                },
                [](core::error const& why) {
                    response out;
                    out.status = core::error_kind_info_for(why.kind).http_status;
                    return out;
                })
                .value();
        client_ = std::make_shared<client_connection>(context_.get_executor());
        client_->connect(server_->local(), test_timeout,
                         [this](core::result<void> const& it) {
                             REQUIRE(it);
                             context_.stop();
                         });
        run();
    }

    ~kept_connection()
    {
        client_->close();
        server_->stop();
    }

    server& receiver() { return *server_; }

    // Sends the bytes and returns the response.
    response exchange(std::string bytes)
    {
        std::optional<exchange_result> out;
        exchange_options options;
        options.timeout = test_timeout;
        client_->exchange(std::move(bytes), options, [&](exchange_result it) {
            out = std::move(it);
            context_.stop();
        });
        run();
        REQUIRE(out);
        REQUIRE(*out);
        return **out;
    }

private:
    void run()
    {
        context_.restart();
        context_.run_for(test_timeout);
    }

    boost::asio::io_context context_{1};
    std::shared_ptr<server> server_;
    std::shared_ptr<client_connection> client_;
};

request upload(std::size_t size)
{
    request it;
    it.method = "POST";
    it.target = "/upload";
    it.headers = {{"Host", "h"}};
    it.body.assign(size, 'x');
    return it;
}

} // namespace

// Guards against a limit of the configuration that a connection keeps from the
// time before a change.
TEST_CASE("a limit that is raised holds for the next request of a connection")
{
    kept_connection it;
    server_settings settings;
    settings.sizes.body = core::byte_count(100);
    it.receiver().set_settings(settings);
    REQUIRE(it.exchange(serialize(upload(50))).status == 200);
    settings.sizes.body = core::byte_count(1'000);
    it.receiver().set_settings(settings);
    REQUIRE(it.exchange(serialize(upload(500))).status == 200);
    settings.sizes.body = core::byte_count(100);
    it.receiver().set_settings(settings);
    REQUIRE(it.exchange(serialize(upload(500))).status == 413);
}

// RFC 9112 section 2.2.
TEST_CASE("empty lines before a request line are ignored")
{
    kept_connection it;
    auto const message = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n";
    REQUIRE(it.exchange(std::string("\r\n") + message).body == "/a");
    REQUIRE(it.exchange(std::string("\r\n\r\n") + message).body == "/a");
}
