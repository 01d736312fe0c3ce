// Tests the memory that responses of a server take while they arrive. The
// server is a plain socket, so that a test decides when each part is sent.
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include "http/client_connection.hpp"

using namespace yuccafall;
using namespace yuccafall::http;
using boost::asio::ip::tcp;
using core::byte_count;
using core::memory_part;
using core::milliseconds;

namespace {

// The time limit only ends a test that fails.
constexpr milliseconds test_timeout{10'000};

// A response of this kind ends when the server closes the connection.
constexpr char head_without_size[] =
    "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n";

template <class Condition>
void run_until(boost::asio::io_context& context, Condition is_met)
{
    context.restart();
    while (!is_met())
    {
        REQUIRE(context.run_one_for(test_timeout) == 1);
    }
}

// One exchange whose response the test writes.
class exchange_under_test
{
public:
    exchange_under_test(boost::asio::io_context& context,
                        std::shared_ptr<memory_part> memory)
        : server_(context),
          client_(std::make_shared<client_connection>(context.get_executor()))
    {
        tcp::acceptor acceptor(context,
                               {boost::asio::ip::address_v4::loopback(), 0});
        acceptor.async_accept(
            server_, [](boost::system::error_code const& ec) { REQUIRE(!ec); });
        bool connected = false;
        client_->connect({core::ip_address("127.0.0.1"),
                          core::port_number(acceptor.local_endpoint().port())},
                         test_timeout, [&](core::result<void> const& it) {
                             REQUIRE(it);
                             connected = true;
                         });
        run_until(context, [&] { return connected && server_.is_open(); });
        exchange_options options;
        options.timeout = test_timeout;
        options.memory = std::move(memory);
        client_->exchange(
            "GET / HTTP/1.1\r\n\r\n", std::move(options),
            [this](exchange_result it) { result = std::move(it); });
    }

    ~exchange_under_test() { client_->close(); }

    // Sends bytes of the response. The client may be the one that reads them,
    // so the call does not wait until they are all sent.
    void respond(std::string bytes)
    {
        bytes_ = std::move(bytes);
        boost::asio::async_write(
            server_, boost::asio::buffer(bytes_),
            [](boost::system::error_code const&, std::size_t) {});
    }

    void close()
    {
        boost::system::error_code ignored;
        server_.shutdown(tcp::socket::shutdown_send, ignored);
    }

    std::optional<exchange_result> result;

private:
    tcp::socket server_;
    std::string bytes_;
    std::shared_ptr<client_connection> client_;
};

std::string body_of(std::size_t size)
{
    return std::string(size, 'x');
}

} // namespace

// Guards against a worker that fills the memory of the node with responses
// whose size it does not state: these did not count.
TEST_CASE("a response of undeclared size counts while it arrives")
{
    boost::asio::io_context context;
    auto const memory = std::make_shared<memory_part>(byte_count(1'000'000));
    exchange_under_test it(context, memory);
    it.respond(head_without_size + body_of(400'000));
    run_until(context, [&] { return memory->used().value() >= 400'000; });
    REQUIRE(memory->used().value() < 500'000);
    it.close();
    run_until(context, [&] { return it.result.has_value(); });
    REQUIRE(it.result->has_value());
    REQUIRE((*it.result)->body.size() == 400'000);
    REQUIRE(memory->used() == byte_count(0));
}

// Guards against responses that wait for each other, and against a broken one
// that is taken for a complete one.
TEST_CASE("when all responses wait for memory, one ends as failed")
{
    boost::asio::io_context context;
    auto const memory = std::make_shared<memory_part>(byte_count(1'000'000));
    exchange_under_test first(context, memory);
    exchange_under_test second(context, memory);
    first.respond(head_without_size + body_of(700'000));
    second.respond(head_without_size + body_of(700'000));
    run_until(context, [&] { return first.result || second.result; });
    auto& failed = first.result ? first : second;
    auto& other = first.result ? second : first;
    REQUIRE_FALSE(failed.result->has_value());
    REQUIRE(failed.result->error().cause == failure_cause::out_of_memory);
    other.close();
    run_until(context, [&] { return other.result.has_value(); });
    REQUIRE(other.result->has_value());
    REQUIRE((*other.result)->body.size() == 700'000);
    REQUIRE(memory->used() == byte_count(0));
}

// Guards against failing responses of the usual size because long ones, which
// the worker completes, fill the memory at the moment.
TEST_CASE("a short response of undeclared size does not wait for memory")
{
    boost::asio::io_context context;
    auto const memory = std::make_shared<memory_part>(byte_count(100'000));
    core::held_memory declared(memory);
    declared.resize(byte_count(100'000));
    exchange_under_test it(context, memory);
    it.respond(head_without_size + body_of(5'000));
    it.close();
    run_until(context, [&] { return it.result.has_value(); });
    REQUIRE(it.result->has_value());
}

// Guards against failing a long response while the memory is held by one that
// goes on.
TEST_CASE("a response of undeclared size waits for one that goes on")
{
    boost::asio::io_context context;
    auto const memory = std::make_shared<memory_part>(byte_count(100'000));
    core::held_memory declared(memory);
    declared.resize(byte_count(80'000));
    exchange_under_test it(context, memory);
    it.respond(head_without_size + body_of(90'000));
    run_until(context, [&] { return memory->used().value() > 90'000; });
    context.restart();
    context.run_for(milliseconds(100));
    REQUIRE_FALSE(it.result);
    REQUIRE(memory->used().value() <= 100'000);
    declared.release();
    it.close();
    run_until(context, [&] { return it.result.has_value(); });
    REQUIRE(it.result->has_value());
    REQUIRE((*it.result)->body.size() == 90'000);
}
