// Tests what operators can make a node hold.
#include <deque>
#include <memory>
#include <optional>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include "admin/admin_server.hpp"

using namespace yuccafall;
using namespace yuccafall::admin;
using boost::asio::ip::tcp;
using core::byte_count;

namespace {

// The time limit only ends a test that fails.
constexpr core::milliseconds test_timeout{10'000};

class operators_endpoint
{
public:
    explicit operators_endpoint(admin_limits const& limits)
        : server_(admin_server::listen(
                      context_,
                      {core::ip_address("127.0.0.1"), core::port_number(0)},
                      {[] { return node_state(); },
                       [] { return std::vector<node_address>(); },
                       [] { return std::optional<std::string>(); }},
                      limits)
                      .value())
    {}

    ~operators_endpoint() { server_->stop(); }

    tcp::socket& connect()
    {
        auto& it = sockets_.emplace_back(context_);
        it.connect({boost::asio::ip::address_v4::loopback(),
                    server_->local().port.value()});
        return it;
    }

    // Sends the bytes and returns the first part of the response.
    std::string exchange(tcp::socket& on, std::string const& bytes)
    {
        boost::asio::write(on, boost::asio::buffer(bytes));
        run_until([&] { return on.available() > 0; });
        std::string received(on.available(), '\0');
        received.resize(on.read_some(boost::asio::buffer(received)));
        return received;
    }

    template <class Condition>
    void run_until(Condition is_met)
    {
        context_.restart();
        while (!is_met())
        {
            REQUIRE(context_.run_one_for(test_timeout) == 1);
        }
    }

private:
    boost::asio::io_context context_;
    std::shared_ptr<admin_server> server_;
    std::deque<tcp::socket> sockets_;
};

constexpr char request_without_body[] = "GET /none HTTP/1.1\r\nHost: h\r\n\r\n";

bool is_closed(tcp::socket& it)
{
    char byte = 0;
    boost::system::error_code ec;
    it.non_blocking(true);
    it.receive(boost::asio::buffer(&byte, 1), tcp::socket::message_peek, ec);
    return ec && ec != boost::asio::error::would_block;
}

} // namespace

// Guards against connections of operators that take the descriptors which the
// worker, the store and other nodes need.
TEST_CASE("a connection over the limit takes the place of an idle one")
{
    operators_endpoint it(
        {core::connection_count(2),
         std::make_shared<core::memory_part>(byte_count(100'000))});
    auto& first = it.connect();
    REQUIRE(it.exchange(first, request_without_body).find(" 404 ") !=
            std::string::npos);
    auto& second = it.connect();
    REQUIRE_FALSE(it.exchange(second, request_without_body).empty());
    REQUIRE_FALSE(is_closed(first));
    auto& third = it.connect();
    REQUIRE_FALSE(it.exchange(third, request_without_body).empty());
    REQUIRE(is_closed(first));
    REQUIRE_FALSE(is_closed(second));
}

// Guards against requests to the operators' endpoint that take the memory of
// the node.
TEST_CASE("requests of operators count and are refused beyond the limit")
{
    auto const memory =
        std::make_shared<core::memory_part>(byte_count(100'000));
    operators_endpoint it({core::connection_count(20), memory});
    auto& slow = it.connect();
    boost::asio::write(slow,
                       boost::asio::buffer("POST / HTTP/1.1\r\nHost: h\r\n"
                                           "Content-Length: 90000\r\n\r\n" +
                                           std::string(80'000, 'x')));
    it.run_until([&] { return memory->used() >= byte_count(80'000); });
    auto& large = it.connect();
    REQUIRE(it.exchange(large, "POST / HTTP/1.1\r\nHost: h\r\n"
                               "Content-Length: 200000\r\n\r\n")
                .find(" 503 ") != std::string::npos);
    REQUIRE(it.exchange(slow, std::string(10'000, 'x')).find(" 405 ") !=
            std::string::npos);
    it.run_until([&] { return memory->used() == byte_count(0); });
}
