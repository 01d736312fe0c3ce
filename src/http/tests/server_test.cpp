// Tests the server over real connections.
#include <memory>
#include <optional>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include "http/client_connection.hpp"
#include "http/server.hpp"
#include "transport/tests/delivery.hpp"

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
                [this](std::shared_ptr<server_connection> const& caller,
                       request const& it) {
                    ++handled_;
                    response out;
                    out.status = 200;
                    out.body = it.target;
                    constexpr std::string_view size_prefix = "/size/";
                    if (it.target.rfind(size_prefix, 0) == 0)
                    {
                        out.body.assign(
                            *parse_number(it.target.substr(size_prefix.size())),
                            'x');
                    }
                    caller->send_response(std::move(out));
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
    std::size_t handled() const { return handled_; }
    boost::asio::io_context& context() { return context_; }

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
    // `body_size` bytes of the body beside the head.
    void send(tcp::socket& to, std::string const& bytes, std::size_t body_size)
    {
        boost::asio::write(to, boost::asio::buffer(bytes));
        run_until(
            [&] { return server_->buffered_bytes().value() >= body_size; });
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

    // Sends the bytes and returns the response, which counts in `memory`.
    response exchange(std::string bytes,
                      std::shared_ptr<core::memory_part> memory = nullptr)
    {
        std::optional<exchange_result> out;
        exchange_options options;
        options.timeout = test_timeout;
        options.memory = std::move(memory);
        client_->exchange(std::move(bytes), options, [&](exchange_result it) {
            out = std::move(it);
            context_.stop();
        });
        run();
        REQUIRE(out);
        REQUIRE(*out);
        return **out;
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
    void run()
    {
        context_.restart();
        context_.run_for(test_timeout);
    }

    boost::asio::io_context context_{1};
    std::shared_ptr<server> server_;
    std::shared_ptr<client_connection> client_;
    // The number of requests that the server has passed on.
    std::size_t handled_ = 0;
};

// Reads what has arrived. Returns whether the connection has ended, and adds
// the number of bytes to `received`.
bool has_ended(tcp::socket& it, std::size_t& received)
{
    boost::system::error_code ec;
    it.non_blocking(true);
    std::string buf(64UL * 1024, '\0');
    while (!ec)
    {
        received += it.read_some(boost::asio::buffer(buf), ec);
    }
    return ec != boost::asio::error::would_block;
}

request get(std::string const& target)
{
    request it;
    it.method = "GET";
    it.target = target;
    it.headers = {{"Host", "h"}};
    return it;
}

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

// Guards against a request that a node offers to a worker although its caller
// has left: the node was delayed, and the request and the end of the connection
// were both in its receive buffer.
TEST_CASE("a request whose caller has already left is not handled")
{
    kept_connection it;
    server_settings settings;
    settings.drops_abandoned_requests = true;
    it.receiver().set_settings(settings);
    auto const caller = it.open_another();
    boost::asio::write(*caller, boost::asio::buffer(serialize(get("/a"))));
    caller->shutdown(tcp::socket::shutdown_send);
    transport::tests::wait_until_delivered(*caller);
    it.run_until([&] { return it.receiver().connections() == 2; });
    it.run_until([&] { return it.receiver().connections() == 1; });
    REQUIRE(it.handled() == 0);
}

// Guards against a probe or an operator's tool that closes its sending side
// after the request and gets no response.
TEST_CASE("a half-closed connection gets its response if nothing is revoked")
{
    kept_connection it;
    auto const caller = it.open_another();
    boost::asio::write(*caller, boost::asio::buffer(serialize(get("/a"))));
    caller->shutdown(tcp::socket::shutdown_send);
    it.run_until([&] { return it.handled() == 1; });
    it.run_until([&] { return caller->available() > 0; });
    std::string response(caller->available(), '\0');
    caller->read_some(boost::asio::buffer(response));
    REQUIRE(response.find(" 200 ") != std::string::npos);
}

// Guards against a process that is ended for its memory: bodies that were still
// arriving did not count (two uploads of 60 MiB took a node of 260 MB to 365
// MB).
TEST_CASE("bodies count against the memory limit while they arrive")
{
    kept_connection it;
    server_settings settings;
    settings.request_memory =
        std::make_shared<core::memory_part>(core::byte_count(100'000));
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

// Guards against a response that is held as long as its reader stays connected.
// The sizes exceed what the kernel buffers for a reader on the same machine.
TEST_CASE("an unread response is ended when another one needs its memory")
{
    constexpr std::size_t size = 8'000'000;
    kept_connection it;
    server_settings settings;
    settings.response_memory =
        std::make_shared<core::memory_part>(core::byte_count(10'000'000));
    it.receiver().set_settings(settings);
    auto const counters = std::make_shared<connection_counters>();
    it.receiver().set_counters(counters);
    auto const slow = it.open_another();
    boost::asio::write(*slow, boost::asio::buffer(serialize(
                                  get("/size/" + std::to_string(size)))));
    it.run_until(
        [&] { return settings.response_memory->used().value() > size; });
    auto const other = it.exchange(serialize(get("/size/6000000")));
    REQUIRE(other.body.size() == 6'000'000);
    std::size_t received = 0;
    it.run_until([&] { return has_ended(*slow, received); });
    REQUIRE(received < size);
    REQUIRE(settings.response_memory->used() == core::byte_count(0));
    REQUIRE(core::value_of(counters->responses_ended_for_memory) == 1);
}

// Guards against a reader that keeps a response, its memory and a descriptor
// for ever.
TEST_CASE("a response that is read below the minimum rate is ended")
{
    constexpr std::size_t size = 8'000'000;
    kept_connection it;
    server_settings settings;
    settings.transfer_window = milliseconds(20);
    it.receiver().set_settings(settings);
    auto const counters = std::make_shared<connection_counters>();
    it.receiver().set_counters(counters);
    auto const slow = it.open_another();
    boost::asio::write(*slow, boost::asio::buffer(serialize(
                                  get("/size/" + std::to_string(size)))));
    it.run_until(
        [&] { return core::value_of(counters->slow_responses_ended) == 1; });
    std::size_t received = 0;
    it.run_until([&] { return has_ended(*slow, received); });
    REQUIRE(received < size);
}

// Guards against ending responses because the VM's link is busy.
TEST_CASE("a response that waits for the link does not count as slow")
{
    kept_connection it;
    server_settings settings;
    settings.transfer_window = milliseconds(20);
    transport::link_pacer_settings pacing;
    pacing.bandwidth = core::bytes_per_second(1'000);
    settings.link = std::make_shared<transport::paced_link>(
        it.context().get_executor(), pacing);
    it.receiver().set_settings(settings);
    auto const counters = std::make_shared<connection_counters>();
    it.receiver().set_counters(counters);
    auto const reader = it.open_another();
    boost::asio::write(*reader,
                       boost::asio::buffer(serialize(get("/size/100000"))));
    boost::asio::steady_timer many_windows(it.context(), milliseconds(300));
    bool done = false;
    many_windows.async_wait(
        [&](boost::system::error_code const&) { done = true; });
    it.run_until([&] { return done; });
    REQUIRE(core::value_of(counters->slow_responses_ended) == 0);
    REQUIRE(it.receiver().requests_open() == 1);
}

// Guards against a body of which one byte arrives at a time, each of which
// restarts the timeout.
TEST_CASE("a body that arrives below the minimum rate is rejected")
{
    kept_connection it;
    server_settings settings;
    settings.transfer_window = milliseconds(1);
    settings.min_transfer_rate = core::bytes_per_second(1'000'000'000);
    it.receiver().set_settings(settings);
    auto const slow = it.open_another();
    auto const whole = serialize(upload(1'000'000));
    std::size_t sent = whole.size() - 1'000'000;
    boost::asio::write(*slow, boost::asio::buffer(whole.substr(0, sent)));
    it.run_until([&] {
        if (slow->available() > 0)
        {
            return true;
        }
        boost::asio::write(*slow, boost::asio::buffer(whole.substr(sent, 1)));
        ++sent;
        return false;
    });
    std::string received(4'096, '\0');
    received.resize(slow->read_some(boost::asio::buffer(received)));
    REQUIRE(received.rfind("HTTP/1.1 408", 0) == 0);
}

// Guards against connections without requests that keep all others out.
TEST_CASE("at the limit, the connection idle longest gives way to a new one")
{
    kept_connection it;
    REQUIRE(it.exchange(serialize(get("/a"))).body == "/a");
    server_settings settings;
    settings.max_connections = core::connection_count(2);
    it.receiver().set_settings(settings);
    auto const silent = it.open_another();
    it.run_until([&] { return it.receiver().connections() == 2; });
    std::size_t received = 0;
    auto const next = it.open_another();
    it.run_until([&] { return has_ended(*silent, received); });
    auto const last = it.open_another();
    it.run_until([&] { return has_ended(*next, received); });
    // The connection that has made a request is idle for longer than these.
    REQUIRE(it.exchange(serialize(get("/b"))).body == "/b");
    // A connection with an incomplete request is not idle.
    boost::asio::write(*last, boost::asio::buffer(std::string("GET /c HT")));
    it.run_until([&] { return it.receiver().buffered_bytes().value() > 0; });
    auto const newest = it.open_another();
    REQUIRE(it.finish(*last, "TP/1.1\r\nHost: h\r\n\r\n").body == "/c");
}

// Guards against a crowd that begins requests and keeps all others out.
TEST_CASE("an incomplete first request gives way if no connection is idle")
{
    kept_connection it;
    server_settings settings;
    settings.max_connections = core::connection_count(2);
    it.receiver().set_settings(settings);
    auto const first = it.open_another();
    boost::asio::write(*first, boost::asio::buffer(std::string("GET /a HT")));
    it.run_until([&] { return it.receiver().buffered_bytes().value() > 0; });
    auto const second = it.open_another();
    boost::asio::write(*second, boost::asio::buffer(std::string("GET /b HT")));
    // The other connection has made no request and goes first.
    it.run_until([&] { return it.receiver().buffered_bytes().value() > 9; });
    auto const third = it.open_another();
    std::size_t received = 0;
    it.run_until([&] { return has_ended(*first, received); });
    REQUIRE(it.finish(*second, "TP/1.1\r\nHost: h\r\n\r\n").body == "/b");
    REQUIRE(it.finish(*third, "GET /c HTTP/1.1\r\nHost: h\r\n\r\n").body ==
            "/c");
}

// Guards against a worker whose long responses all arrive at the same time.
TEST_CASE("a client reads a long response only when there is memory for it")
{
    kept_connection it;
    auto const memory =
        std::make_shared<core::memory_part>(core::byte_count(1'000'000));
    core::held_memory other(memory);
    other.resize(core::byte_count(800'000));
    boost::asio::steady_timer wait(it.context(), milliseconds(100));
    wait.async_wait([&](boost::system::error_code const&) {
        // The response has not been admitted.
        REQUIRE(memory->used() == core::byte_count(800'000));
        other.release();
    });
    auto const response = it.exchange(serialize(get("/size/500000")), memory);
    REQUIRE(other.size() == core::byte_count(0));
    REQUIRE(response.body.size() == 500'000);
    REQUIRE(memory->used() == core::byte_count(0));
}
