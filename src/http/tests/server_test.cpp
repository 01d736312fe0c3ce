// Tests the server over real connections.
#include <memory>
#include <optional>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include "http/client_connection.hpp"
#include "http/server.hpp"

using namespace yuccafall;
using namespace yuccafall::http;
using boost::asio::ip::tcp;
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
                    out.status =
                        core::error_kind_info_for(why.kind).http_status;
                    return out;
                })
                .value();
        reconnect();
    }

    ~kept_connection()
    {
        client_->close();
        server_->stop();
    }

    server& receiver() { return *server_; }

    void reconnect()
    {
        client_ = std::make_shared<client_connection>(context_.get_executor());
        client_->connect(server_->local(), test_timeout,
                         [this](core::result<void> const& it) {
                             REQUIRE(it);
                             context_.stop();
                         });
        run();
    }

    // Opens a connection beside the one that exchange() uses.
    std::unique_ptr<tcp::socket> open_another()
    {
        auto out = std::make_unique<tcp::socket>(context_);
        out->connect(
            {boost::asio::ip::make_address(server_->local().address.value()),
             server_->local().port.value()});
        return out;
    }

    // Sends a part of a request and runs the server until it has read
    // `body_size` bytes of the body.
    void send(tcp::socket& to, std::string const& bytes, std::size_t body_size)
    {
        boost::asio::write(to, boost::asio::buffer(bytes));
        run_until(
            [&] { return server_->buffered_bytes().value() == body_size; });
    }

    // Sends the rest of a request and returns the response.
    response finish(tcp::socket& on, std::string const& bytes)
    {
        boost::asio::write(on, boost::asio::buffer(bytes));
        run_until([&] { return on.available() > 0; });
        std::string received(4'096, '\0');
        received.resize(on.read_some(boost::asio::buffer(received)));
        response_reader reader({}, false);
        REQUIRE(reader.parse(received).value() == parse_progress::complete);
        return reader.release();
    }

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
    template <class Condition>
    void run_until(Condition is_met)
    {
        context_.restart();
        while (!is_met())
        {
            REQUIRE(context_.run_one_for(test_timeout) == 1);
        }
    }

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

// Guards against a process that is ended for its memory: bodies that were still
// arriving did not count (two uploads of 60 MiB took a node of 260 MB to 365
// MB).
TEST_CASE("bodies count against the memory limit while they arrive")
{
    kept_connection it;
    server_settings settings;
    settings.request_memory_limit = core::byte_count(100'000);
    it.receiver().set_settings(settings);
    // A caller that sends a part of its body and waits.
    auto const slow = it.open_another();
    auto const whole = serialize(upload(80'000));
    it.send(*slow, whole.substr(0, whole.size() - 10'000), 70'000);
    REQUIRE(it.exchange(serialize(upload(20'000))).status == 200);
    REQUIRE(it.exchange(serialize(upload(60'000))).status == 503);
    // The slow caller is not the one that is rejected.
    REQUIRE(it.finish(*slow, whole.substr(whole.size() - 10'000)).status ==
            200);
    // A body that can never fit is rejected before it is sent.
    auto const large = serialize(upload(200'000));
    auto const head = large.substr(0, large.find("\r\n\r\n") + 4);
    it.reconnect();
    REQUIRE(it.exchange(head).status == 503);
    it.reconnect();
    REQUIRE(it.exchange(serialize(upload(90'000))).status == 200);
}

// RFC 9112 section 2.2.
TEST_CASE("empty lines before a request line are ignored")
{
    kept_connection it;
    auto const message = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n";
    REQUIRE(it.exchange(std::string("\r\n") + message).body == "/a");
    REQUIRE(it.exchange(std::string("\r\n\r\n") + message).body == "/a");
}
