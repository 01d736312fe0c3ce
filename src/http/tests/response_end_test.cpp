// Tests which ends of a connection complete a response, and which bytes are
// one, over the loopback interface. The kernel reports the reset of a
// connection to only one of the system calls that wait for it, so plain strings
// cannot show these cases.
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include "http/client_connection.hpp"
#include "stand_ins/raw_worker.hpp"
#include "stand_ins/response_samples.hpp"

using namespace yuccafall;
using namespace yuccafall::http;
using namespace yuccafall::stand_ins;
using boost::asio::ip::tcp;

namespace {

// The time limit only ends a test that fails.
constexpr core::milliseconds test_timeout{10'000};

// More than the kernel takes in while the server does not read.
constexpr std::size_t long_request = 16UL * 1024 * 1024;

std::vector<std::size_t> const part_sizes{0, 100, 60'000};

std::string request_of(std::size_t body_size)
{
    return "POST / HTTP/1.1\r\nContent-Length: " + std::to_string(body_size) +
           "\r\n\r\n" + std::string(body_size, 'u');
}

// A client connection and the loop that runs it.
class client
{
public:
    explicit client(core::endpoint const& to)
        : connection_(
              std::make_shared<client_connection>(context_.get_executor()))
    {
        std::optional<core::result<void>> connected;
        connection_->connect(
            to, test_timeout,
            [&](core::result<void> const& it) { connected = it; });
        run_until_set(connected);
        REQUIRE(*connected);
    }
    ~client()
    {
        connection_->close();
        context_.restart();
        context_.poll();
    }

    exchange_result exchange(std::string request)
    {
        exchange_options options;
        options.timeout = test_timeout;
        std::optional<exchange_result> out;
        connection_->exchange(std::move(request), std::move(options),
                              [&](exchange_result it) { out = std::move(it); });
        run_until_set(out);
        return std::move(*out);
    }

    bool reusable() { return connection_->reusable(); }

private:
    template <class Value>
    void run_until_set(std::optional<Value> const& value)
    {
        context_.restart();
        while (!value)
        {
            REQUIRE(context_.run_one() == 1);
        }
    }

    boost::asio::io_context context_{1};
    std::shared_ptr<client_connection> connection_;
};

core::endpoint const any_port{core::ip_address("127.0.0.1"),
                              core::port_number(0)};

response_content sample_content()
{
    return {"X: y\r\n", "the whole body " + std::string(20'000, 'x')};
}

std::string const head_without_length = "HTTP/1.1 200 OK\r\nX: y\r\n\r\n";

} // namespace

// A write that fails takes the error of the connection, so that the next read
// reports the end of the stream as after a FIN.
TEST_CASE("a reset that a write has reported does not complete a response")
{
    raw_worker server(any_port);
    for (auto const* version : {"HTTP/1.1", "HTTP/1.0"})
    {
        for (auto const size : part_sizes)
        {
            for (auto const pause : {0, 20, 300})
            {
                CAPTURE(version, size, pause);
                server.set_reply(
                    {send_bytes{std::string(version) + " 200 OK\r\n\r\n" +
                                std::string(size, 'p')},
                     pause_for{core::milliseconds(pause)}, send_reset{}});
                client it(server.local());
                auto const result = it.exchange(request_of(long_request));
                CHECK_FALSE(result);
                REQUIRE(result.error().cause ==
                        failure_cause::invalid_response);
                REQUIRE_FALSE(it.reusable());
            }
        }
    }
}

// Guards against a read that reports the end of the stream before the handler
// of the write that has got the error: the order depends on the moment of the
// reset.
TEST_CASE("a reset at any moment does not complete a response")
{
    constexpr int attempts = 500;
    raw_worker server(any_port);
    server.set_reply({send_bytes{head_without_length + std::string(100, 'p')},
                      send_reset{}});
    auto const request = request_of(long_request);
    int accepted = 0;
    for (int i = 0; i < attempts; ++i)
    {
        client it(server.local());
        accepted += it.exchange(request) ? 1 : 0;
    }
    REQUIRE(accepted == 0);
}

// As above for a request of any size: the server has reset the connection
// before the request is written.
TEST_CASE("a reset before the request is written does not complete a response")
{
    for (auto const size : {0, 100, 5'000})
    {
        CAPTURE(size);
        boost::asio::io_context context(1);
        tcp::acceptor acceptor(context,
                               {boost::asio::ip::address_v4::loopback(), 0});
        client it({core::ip_address("127.0.0.1"),
                   core::port_number(acceptor.local_endpoint().port())});
        auto server = acceptor.accept();
        boost::asio::write(server, boost::asio::buffer(head_without_length +
                                                       std::string(size, 'p')));
        server.set_option(boost::asio::socket_base::linger(true, 0));
        server.close();
        auto const result = it.exchange(request_of(0));
        CHECK_FALSE(result);
    }
}

// A FIN that arrives before the reset ends the response where the server ended
// it. The error of the write is another one then.
TEST_CASE("a reset after a FIN leaves a response without a length complete")
{
    raw_worker server(any_port);
    for (auto const size : part_sizes)
    {
        for (auto const pause : {0, 20, 300})
        {
            CAPTURE(size, pause);
            server.set_reply(
                {send_bytes{head_without_length + std::string(size, 'p')},
                 send_fin{}, pause_for{core::milliseconds(pause)},
                 send_reset{}});
            client it(server.local());
            auto const result = it.exchange(request_of(long_request));
            REQUIRE(result);
            REQUIRE(result->body.size() == size);
            REQUIRE_FALSE(it.reusable());
        }
    }
}

// Guards against a response that is only read up to the end of the read that
// was pending when the write failed.
TEST_CASE("a response that states its end is complete although the connection "
          "is reset after it")
{
    raw_worker server(any_port);
    for (auto const size : part_sizes)
    {
        for (auto const pause : {0, 20, 300})
        {
            CAPTURE(size, pause);
            server.set_reply({send_bytes{"HTTP/1.1 200 OK\r\nContent-Length: " +
                                         std::to_string(size) + "\r\n\r\n" +
                                         std::string(size, 'p')},
                              pause_for{core::milliseconds(pause)},
                              send_reset{}});
            client it(server.local());
            auto const result = it.exchange(request_of(long_request));
            REQUIRE(result);
            REQUIRE(result->body.size() == size);
        }
    }
}

TEST_CASE("a malformed response is rejected, however its connection ends")
{
    raw_worker server(any_port);
    for (auto const& sample : make_broken_responses(sample_content()))
    {
        for (auto const& end :
             {reply_step(send_fin{}), reply_step(send_reset{})})
        {
            CAPTURE(sample.name, end.index());
            server.set_reply({read_body{}, send_bytes{sample.bytes}, end});
            client it(server.local());
            auto const result = it.exchange(request_of(0));
            CHECK_FALSE(result);
            REQUIRE_FALSE(it.reusable());
        }
    }
}

TEST_CASE("a sound response is read")
{
    raw_worker server(any_port);
    auto const content = sample_content();
    for (auto const& sample : make_sound_responses(content))
    {
        CAPTURE(sample.name);
        reply steps{read_body{}, send_bytes{sample.bytes}};
        if (sample.ends_with_connection)
        {
            steps.emplace_back(send_fin{});
        }
        steps.emplace_back(await_close{});
        server.set_reply(std::move(steps));
        client it(server.local());
        auto const result = it.exchange(request_of(0));
        REQUIRE(result);
        REQUIRE(result->status == sample.status);
        REQUIRE(result->body ==
                (sample.has_body ? content.body : std::string()));
    }
}
