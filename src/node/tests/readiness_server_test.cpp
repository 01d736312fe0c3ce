// Tests that the platform's check is answered whatever others send to the
// readiness endpoint, and that they take no more than its memory.
#include <deque>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include "node/readiness_server.hpp"
#include "node/resource_limits.hpp"

using namespace yuccafall;
using namespace yuccafall::node;
using boost::asio::ip::tcp;
using core::byte_count;

namespace {

// The time limit only ends a test that fails.
constexpr core::milliseconds test_timeout{10'000};

constexpr char check[] = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
constexpr char post[] = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: ";

resource_limits usual_limits()
{
    settings it;
    it.memory_limit = byte_count(160UL * 1024 * 1024);
    return limits_for(it, descriptor_count(4'100));
}

class readiness_endpoint
{
public:
    readiness_endpoint()
        : account(make_memory_account(usual_limits())),
          server_(listen_for_readiness(
                      context_,
                      {core::ip_address("127.0.0.1"), core::port_number(0)},
                      {usual_limits().readiness_connections, account.readiness},
                      [] { return true; })
                      .value())
    {}

    ~readiness_endpoint() { server_->stop(); }

    http::server& server() { return *server_; }

    tcp::socket& connect()
    {
        auto& it = sockets_.emplace_back(context_);
        it.connect({boost::asio::ip::address_v4::loopback(),
                    server_->local().port.value()});
        return it;
    }

    // Returns the status line. It is empty if the connection has ended.
    std::string exchange(tcp::socket& on, std::string const& bytes)
    {
        boost::asio::write(on, boost::asio::buffer(bytes));
        std::optional<std::size_t> n;
        std::string received(15, '\0');
        on.async_read_some(boost::asio::buffer(received),
                           [&](boost::system::error_code const&,
                               std::size_t size) { n = size; });
        run_until([&] { return n.has_value(); });
        return received.substr(0, *n);
    }

    // Handles what has arrived so far.
    void handle_arrived()
    {
        context_.restart();
        while (context_.poll() > 0)
        {}
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

    core::memory_account account;

private:
    boost::asio::io_context context_;
    std::shared_ptr<http::server> server_;
    std::deque<tcp::socket> sockets_;
};

constexpr std::string_view ok = "HTTP/1.1 200 OK";

} // namespace

// Guards against bodies of 64 MB, of which 48 MB were held beside the memory
// that is accounted for.
TEST_CASE("a check with a long body is refused")
{
    readiness_endpoint it;
    auto const size = std::to_string(max_readiness_body.value() + 1);
    REQUIRE(it.exchange(it.connect(), post + size + "\r\n\r\n")
                .rfind("HTTP/1.1 413", 0) == 0);
    REQUIRE(it.exchange(it.connect(), check) == ok);
}

// Guards against a crowd whose requests, of the largest size and never
// complete, keep the platform's check out or exceed the memory.
TEST_CASE("the platform's check is answered while all connections are in use")
{
    readiness_endpoint it;
    auto const size = max_readiness_body.value();
    auto const part_of_body = post + std::to_string(size) +
                              "\r\nX: " + std::string(15'000, 'x') +
                              "\r\n\r\n" + std::string(size - 1, 'x');
    constexpr std::size_t crowd = 70;
    for (std::size_t n = 0; n < crowd; ++n)
    {
        boost::asio::write(it.connect(), boost::asio::buffer(part_of_body));
        it.handle_arrived();
    }
    REQUIRE(it.exchange(it.connect(), check) == ok);
    REQUIRE(it.server().connections() <=
            usual_limits().readiness_connections.value() + 1);
    REQUIRE(it.server().buffered_bytes() <= it.account.readiness->limit());
}

// Guards against a check that depends on memory that callers, workers, nodes or
// operators use up.
TEST_CASE("the platform's check is answered while all other memory is used up")
{
    readiness_endpoint it;
    std::deque<core::held_memory> used;
    for (auto const& part : {it.account.requests, it.account.responses,
                             it.account.worker_responses, it.account.frames,
                             it.account.control_frames, it.account.operators})
    {
        used.emplace_back(part).resize(part->limit());
    }
    auto& in_parts = it.connect();
    boost::asio::write(in_parts, boost::asio::buffer(std::string("GET / HT")));
    it.run_until([&] { return it.server().buffered_bytes().value() > 0; });
    REQUIRE(it.exchange(in_parts, "TP/1.1\r\nHost: h\r\n\r\n") == ok);
}
