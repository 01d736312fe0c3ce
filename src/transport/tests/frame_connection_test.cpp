// Tests frame connections over the loopback interface.
#include <chrono>
#include <cstdlib>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include "transport/frame_acceptor.hpp"
#include "transport/frame_connection.hpp"

using namespace yuccafall;
using namespace yuccafall::transport;
namespace asio = boost::asio;

namespace {

core::endpoint const loopback_any_port{core::ip_address("127.0.0.1"),
                                       core::port_number(0)};

// A server for one test. Everything runs on the test's thread, as it does on
// the control thread of a node.
struct loopback
{
    explicit loopback(acceptor_options const& options = {})
    {
        acceptor = *frame_acceptor::listen(
            context, loopback_any_port, options,
            [this](std::shared_ptr<frame_connection> const& it) {
                server = it;
                it->start({[this](std::string frame) {
                               received_frames.push_back(std::move(frame));
                           },
                           nullptr,
                           [this](core::error reason) {
                               server_closed = std::move(reason);
                           }});
            });
    }

    ~loopback() { acceptor->stop(); }

    void run_until(std::function<bool()> const& condition)
    {
        auto const end =
            std::chrono::steady_clock::now() + std::chrono::seconds(60);
        while (!condition())
        {
            context.restart();
            context.run_one_for(std::chrono::seconds(1));
            if (std::chrono::steady_clock::now() > end)
            {
                std::abort();
            }
        }
    }

    std::shared_ptr<frame_connection>
    connect(channel_kind kind = channel_kind::traffic,
            connection_options const& options = {})
    {
        std::optional<core::result<std::shared_ptr<frame_connection>>>
            connected;
        frame_connection::connect(
            context.get_executor(), acceptor->local(), kind, options,
            core::milliseconds(30'000),
            [&](core::result<std::shared_ptr<frame_connection>> it) {
                connected = std::move(it);
            });
        run_until([&] { return connected.has_value(); });
        REQUIRE(connected->has_value());
        return **connected;
    }

    asio::io_context context;
    std::shared_ptr<frame_acceptor> acceptor;
    std::shared_ptr<frame_connection> server;
    std::vector<std::string> received_frames;
    std::optional<core::error> server_closed;
};

// Sends bytes that a frame_connection would not send.
void send_raw(asio::ip::tcp::socket& socket, std::string const& bytes)
{
    boost::system::error_code ignored;
    asio::write(socket, asio::buffer(bytes), ignored);
}

std::string framed(std::string const& frame)
{
    auto const header = encode_frame_length(frame.size());
    return std::string(header.begin(), header.end()) + frame;
}

std::shared_ptr<core::memory_part> make_memory()
{
    return std::make_shared<core::memory_part>(core::byte_count(1'000'000));
}

// Options of a server whose connections count in the part.
acceptor_options options_with(std::shared_ptr<core::memory_part> memory)
{
    acceptor_options out;
    out.connection.memory = std::move(memory);
    return out;
}

asio::ip::tcp::socket raw_socket(loopback& it)
{
    asio::ip::tcp::socket socket(it.context);
    socket.connect(
        {asio::ip::address_v4::loopback(), it.acceptor->local().port.value()});
    return socket;
}

} // namespace

TEST_CASE("frames arrive whole, in order and in both directions")
{
    loopback net;
    auto const client = net.connect();
    std::vector<std::string> responses;
    client->start(
        {[&](std::string frame) { responses.push_back(std::move(frame)); },
         nullptr, nullptr});
    std::string const large(traffic_frame_limit.value(), 'x');
    REQUIRE(client->send("first"));
    REQUIRE(client->send(large));
    REQUIRE(client->send("last"));
    net.run_until([&] { return net.received_frames.size() == 3; });
    REQUIRE(net.received_frames ==
            std::vector<std::string>{"first", large, "last"});
    net.server->send("response");
    net.run_until([&] { return responses.size() == 1; });
    REQUIRE(responses.front() == "response");
    client->close_silently();
    net.run_until([&] { return net.server_closed.has_value(); });
}

// Guards against a control connection that is accepted on the traffic port. The
// two kinds of channel have different frame limits.
TEST_CASE("a connection of another channel kind is closed")
{
    loopback net;
    auto const client = net.connect(channel_kind::control);
    std::optional<core::error> closed;
    client->start({nullptr, nullptr,
                   [&](core::error const& reason) { closed = reason; }});
    net.run_until([&] { return closed.has_value(); });
    REQUIRE_FALSE(net.server);
}

TEST_CASE("a bad frame closes only its own connection")
{
    loopback net;
    auto const good = net.connect();
    good->start({nullptr, nullptr, nullptr});
    net.run_until([&] { return net.server != nullptr; });
    net.server = nullptr;

    auto bad = raw_socket(net);
    send_raw(bad,
             std::string("\0\0\0\1\1", 5) + std::string("\xff\xff\xff\xff"));
    net.run_until([&] { return net.server_closed.has_value(); });
    REQUIRE(net.server_closed->kind == core::error_kind::bad_frame);

    REQUIRE(good->send("still here"));
    net.run_until([&] { return net.received_frames.size() == 1; });
    good->close_silently();
}

// Guards against unbounded buffering for a peer that does not read.
TEST_CASE("a full send queue closes the connection")
{
    loopback net;
    connection_options options;
    options.queue_limit = core::byte_count(1024UL * 1024);
    auto const client = net.connect(channel_kind::traffic, options);
    net.run_until([&] { return net.server != nullptr; });
    std::optional<core::error> closed;
    client->start({nullptr, nullptr,
                   [&](core::error const& reason) { closed = reason; }});
    std::string const frame(200UL * 1024, 'x');
    int sent = 0;
    while (client->send(frame))
    {
        ++sent;
    }
    REQUIRE(sent == 5);
    net.run_until([&] { return closed.has_value(); });
    REQUIRE(closed->detail == "send queue is full");
}

TEST_CASE("frames are not delivered between pause and resume")
{
    loopback net;
    auto const client = net.connect();
    net.run_until([&] { return net.server != nullptr; });
    net.server->pause();
    client->start({nullptr, nullptr, nullptr});
    for (int n = 0; n < 5; ++n)
    {
        client->send("frame");
    }
    net.run_until([&] { return client->queued().value() == 0; });
    net.context.poll();
    // A read that was pending before the pause may still deliver a frame.
    REQUIRE(net.received_frames.size() <= 1);
    net.server->resume();
    net.run_until([&] { return net.received_frames.size() == 5; });
    client->close_silently();
}

// Guards against a message that takes effect although the message that revokes
// it has already arrived behind it on the same connection.
TEST_CASE("frames that have arrived together are delivered in one turn")
{
    loopback net;
    auto socket = raw_socket(net);
    send_raw(socket, framed(std::string(1, '\1')));
    net.run_until([&] { return net.server != nullptr; });
    std::vector<std::string> events;
    net.server->start({[&](std::string const& frame) {
                           events.push_back(frame);
                           asio::post(net.context, [&, frame] {
                               events.push_back("posted by " + frame);
                           });
                           // Reading on must not deliver a frame within the
                           // handler of another.
                           net.server->resume();
                           events.push_back("end of " + frame);
                       },
                       nullptr, nullptr});
    send_raw(socket, framed("a") + framed("b"));
    net.run_until([&] { return events.size() == 6; });
    REQUIRE(events == std::vector<std::string>{"a", "end of a", "b", "end of b",
                                               "posted by a", "posted by b"});
    net.server->close_silently();
}

// Guards against a peer that sends without pause and keeps the handlers of all
// others from running.
TEST_CASE("a turn delivers a limited number of frames")
{
    loopback net;
    auto socket = raw_socket(net);
    send_raw(socket, framed(std::string(1, '\1')));
    net.run_until([&] { return net.server != nullptr; });
    constexpr std::size_t frame_count = 1'000;
    std::size_t received = 0;
    std::size_t received_before_other = 0;
    net.server->start({[&](std::string const&) {
                           if (received++ == 0)
                           {
                               asio::post(net.context, [&] {
                                   received_before_other = received;
                               });
                           }
                       },
                       nullptr, nullptr});
    std::string bytes;
    for (std::size_t n = 0; n < frame_count; ++n)
    {
        bytes += framed("x");
    }
    send_raw(socket, bytes);
    net.run_until([&] { return received == frame_count; });
    REQUIRE(received_before_other > 0);
    REQUIRE(received_before_other < frame_count / 2);
    net.server->close_silently();
}

TEST_CASE("an idle connection is closed")
{
    acceptor_options options;
    options.connection.idle_timeout = core::milliseconds(50);
    loopback net(options);
    auto const client = net.connect();
    client->start({nullptr, nullptr, nullptr});
    net.run_until([&] { return net.server_closed.has_value(); });
    REQUIRE(net.server_closed->detail == "idle timeout");
    REQUIRE_FALSE(net.server->open());
}

// Guards against a complete state that never arrives over a slow link, since
// its transfer takes longer than the idle timeout.
TEST_CASE("a connection is not idle while a long frame arrives")
{
    acceptor_options options = options_with(make_memory());
    options.connection.idle_timeout = core::milliseconds(1'000);
    loopback net(options);
    auto peer = raw_socket(net);
    send_raw(peer, framed(std::string(1, '\1')));
    auto const bytes = framed(std::string(500'000, 'x'));
    constexpr std::size_t part = 50'000;
    for (std::size_t at = 0; at < bytes.size(); at += part)
    {
        send_raw(peer, bytes.substr(at, part));
        net.context.restart();
        net.context.run_for(std::chrono::milliseconds(150));
    }
    net.run_until(
        [&] { return net.server_closed || net.received_frames.size() == 1; });
    REQUIRE_FALSE(net.server_closed);
    peer.close();
    net.run_until([&] { return net.server_closed.has_value(); });
}

// Guards against a peer that keeps a connection by single bytes of a frame.
TEST_CASE("a connection is idle while a long frame hardly arrives")
{
    acceptor_options options = options_with(make_memory());
    options.connection.idle_timeout = core::milliseconds(300);
    loopback net(options);
    auto peer = raw_socket(net);
    send_raw(peer, framed(std::string(1, '\1')));
    auto const bytes = framed(std::string(500'000, 'x'));
    std::size_t sent = 0;
    while (!net.server_closed && sent < bytes.size())
    {
        send_raw(peer, bytes.substr(sent++, 1));
        net.context.restart();
        net.context.run_for(std::chrono::milliseconds(20));
    }
    REQUIRE(net.server_closed);
    REQUIRE(net.server_closed->detail == "idle timeout");
}

TEST_CASE(
    "connections over the limit are closed and a closed one frees its place")
{
    acceptor_options options;
    options.max_connections = core::connection_count(1);
    loopback net(options);
    auto first = net.connect();
    first->start({nullptr, nullptr, nullptr});
    net.run_until([&] { return net.server != nullptr; });

    auto const second = net.connect();
    std::optional<core::error> closed;
    second->start({nullptr, nullptr,
                   [&](core::error const& reason) { closed = reason; }});
    net.run_until([&] { return closed.has_value(); });

    first->close_silently();
    net.run_until([&] { return net.server_closed.has_value(); });
    net.server = nullptr;
    auto const third = net.connect();
    third->start({nullptr, nullptr, nullptr});
    net.run_until([&] { return net.server != nullptr; });
    REQUIRE(third->send("frame"));
    net.run_until([&] { return net.received_frames.size() == 1; });
    third->close_silently();
}

TEST_CASE("a refused connect fails with io")
{
    asio::io_context context;
    asio::ip::tcp::acceptor unused_port(context,
                                        {asio::ip::address_v4::loopback(), 0});
    core::endpoint const closed{
        core::ip_address("127.0.0.1"),
        core::port_number(unused_port.local_endpoint().port())};
    unused_port.close();
    std::optional<core::error> failed;
    frame_connection::connect(
        context.get_executor(), closed, channel_kind::traffic, {},
        core::milliseconds(30'000),
        [&](core::result<std::shared_ptr<frame_connection>> it) {
            REQUIRE_FALSE(it);
            failed = it.error();
        });
    context.run();
    REQUIRE(failed);
    REQUIRE(failed->kind == core::error_kind::io);
}

// Pattern: responses of 90 kB and short ones to the same node. The short ones
// waited for the whole of each long one before it.
TEST_CASE("a short frame goes ahead of a long one that waits for the link")
{
    loopback net;
    connection_options options;
    link_pacer_settings pacing;
    pacing.bandwidth = core::bytes_per_second(4'000'000);
    options.link =
        std::make_shared<paced_link>(net.context.get_executor(), pacing);
    auto const client = net.connect(channel_kind::traffic, options);
    client->start({});
    std::string const long_frame(100'000, 'x');
    REQUIRE(client->send(long_frame));
    REQUIRE(client->send(long_frame));
    REQUIRE(client->send("short"));
    net.run_until([&] { return net.received_frames.size() == 3; });
    REQUIRE(net.received_frames ==
            std::vector<std::string>{"short", long_frame, long_frame});
    REQUIRE(options.link->backlog() == core::duration::zero());
    client->close_silently();
    net.run_until([&] { return net.server_closed.has_value(); });
}

TEST_CASE("a connection that closes takes its long frames off the link")
{
    loopback net;
    connection_options options;
    link_pacer_settings pacing;
    pacing.bandwidth = core::bytes_per_second(1'000);
    options.link =
        std::make_shared<paced_link>(net.context.get_executor(), pacing);
    auto const client = net.connect(channel_kind::traffic, options);
    client->start({});
    REQUIRE(client->send(std::string(100'000, 'x')));
    REQUIRE(client->send(std::string(100'000, 'y')));
    REQUIRE(options.link->backlog() > core::duration::zero());
    client->close_silently();
    REQUIRE(options.link->backlog() == core::duration::zero());
    net.run_until([&] { return net.server_closed.has_value(); });
}

// Guards against frames for a peer that does not read, which are held without
// limit over all connections.
TEST_CASE("a peer that does not read loses its connection when memory is short")
{
    loopback net;
    connection_options options;
    options.memory =
        std::make_shared<core::memory_part>(core::byte_count(14'000'000));
    auto const client = net.connect(channel_kind::traffic, options);
    std::optional<core::error> closed;
    client->start(
        {nullptr, nullptr, [&](core::error const& it) { closed = it; }});
    REQUIRE(client->send(std::string(8'000'000, 'x')));
    REQUIRE(options.memory->used().value() > 8'000'000);
    REQUIRE_FALSE(client->send(std::string(8'000'000, 'y')));
    REQUIRE(options.memory->used() == core::byte_count(0));
    net.run_until([&] { return closed.has_value(); });
}

// Guards against a whole state that never arrives because each short message to
// another node ends its transfer.
TEST_CASE("a short frame does not end the transfer of a long one")
{
    loopback net;
    connection_options options;
    options.memory =
        std::make_shared<core::memory_part>(core::byte_count(7'000'000));
    auto const first = net.connect(channel_kind::traffic, options);
    auto const second = net.connect(channel_kind::traffic, options);
    net.run_until([&] { return options.memory->used().value() == 0; });
    REQUIRE(first->send(std::string(8'000'000, 'x')));
    REQUIRE_FALSE(options.memory->has_room(core::byte_count(1)));
    REQUIRE(second->send(std::string(100, 'y')));
    REQUIRE(first->open());
    first->close_silently();
    second->close_silently();
}

// Guards against a peer that keeps frames for ever while others need no memory.
TEST_CASE("a peer that takes no byte of a frame for too long is disconnected")
{
    loopback net;
    connection_options options;
    options.write_timeout = core::milliseconds(50);
    auto const client = net.connect(channel_kind::traffic, options);
    std::optional<core::error> closed;
    client->start(
        {nullptr, nullptr, [&](core::error const& it) { closed = it; }});
    // The peer reads the first frame, so that it is connected, and no more.
    net.run_until([&] { return net.server != nullptr; });
    net.server->pause();
    while (client->open() && client->queued().value() < 20'000'000)
    {
        client->send(std::string(5'000'000, 'x'));
    }
    net.run_until([&] { return closed.has_value(); });
    REQUIRE(closed->detail == "the peer does not read");
}

// Guards against large frames of many peers that arrive at the same time.
TEST_CASE("a long frame is read only when there is memory for it")
{
    auto const memory = make_memory();
    loopback net(options_with(memory));
    auto const client = net.connect();
    client->start({});
    core::held_memory other(memory);
    other.resize(core::byte_count(800'000));
    std::string const long_frame(500'000, 'x');
    REQUIRE(client->send("short"));
    REQUIRE(client->send(long_frame));
    net.run_until([&] { return net.received_frames.size() == 1; });
    net.context.restart();
    net.context.run_for(std::chrono::milliseconds(200));
    REQUIRE(net.received_frames.size() == 1);
    REQUIRE(memory->used() == core::byte_count(800'000));
    other.release();
    net.run_until([&] { return net.received_frames.size() == 2; });
    REQUIRE(net.received_frames.back() == long_frame);
    REQUIRE(memory->used() == core::byte_count(0));
    client->close_silently();
    net.run_until([&] { return net.server_closed.has_value(); });
}

// Guards against a timer that runs all the time while a frame waits for memory,
// and against a peer that is taken for one that still sends.
TEST_CASE("a peer that is silent while its frame waits does not count as alive")
{
    auto const memory = make_memory();
    loopback net(options_with(memory));
    core::held_memory other(memory);
    other.resize(memory->limit());
    auto peer = raw_socket(net);
    std::string const kind("\0\0\0\1\1", 5);
    std::string const frame(500'000, 'x');
    auto const header = encode_frame_length(frame.size());
    send_raw(peer, kind + std::string(header.data(), header.size()) + "begin");
    net.run_until([&] { return net.server != nullptr; });
    net.context.restart();
    net.context.run_for(std::chrono::milliseconds(100));
    auto const last_read = net.server->last_read();
    net.context.restart();
    REQUIRE(net.context.run_for(std::chrono::milliseconds(200)) == 0);
    REQUIRE(net.server->last_read() == last_read);
    send_raw(peer, "more");
    REQUIRE(net.server->last_read() > last_read);
    other.release();
    send_raw(peer, std::string(frame.size() - 9, 'x'));
    net.run_until([&] { return net.received_frames.size() == 1; });
    peer.close();
    net.run_until([&] { return net.server_closed.has_value(); });
}

// Guards against closing the connection to a peer that cannot send more, since
// this node does not read.
TEST_CASE("a peer that has filled the receive buffer counts as alive")
{
    auto const memory = make_memory();
    loopback net(options_with(memory));
    core::held_memory other(memory);
    other.resize(memory->limit());
    auto const client = net.connect();
    client->start({});
    net.run_until([&] { return net.server != nullptr; });
    REQUIRE(client->send(std::string(8'000'000, 'x')));
    net.context.restart();
    net.context.run_for(std::chrono::milliseconds(200));
    auto const last_read = net.server->last_read();
    // The kernel of the peer acknowledges a short frame.
    REQUIRE(net.server->send("ping"));
    net.context.restart();
    net.context.run_for(std::chrono::milliseconds(200));
    REQUIRE(net.server->last_read() > last_read);
    client->close_silently();
    other.release();
    net.run_until([&] { return net.server_closed.has_value(); });
}

// Guards against two nodes that do not read since their memory is full of
// frames for each other. The write timeout ended the connection.
TEST_CASE("two nodes whose memory is full of frames for each other go on")
{
    constexpr core::byte_count limit(32'000'000);
    constexpr core::byte_count reserve(8'000'000);
    constexpr std::size_t frames = 4;
    std::string const frame(7'500'000, 'x');
    connection_options client_options;
    client_options.memory = std::make_shared<core::memory_part>(limit, reserve);
    client_options.write_timeout = core::milliseconds(10'000);
    acceptor_options options;
    options.connection.memory =
        std::make_shared<core::memory_part>(limit, reserve);
    options.connection.write_timeout = core::milliseconds(10'000);
    loopback net(options);
    auto const client = net.connect(channel_kind::traffic, client_options);
    std::size_t responses = 0;
    std::optional<core::error> closed;
    client->start({[&](std::string const&) { ++responses; }, nullptr,
                   [&](core::error const& it) { closed = it; }});
    net.run_until([&] { return net.server != nullptr; });
    for (std::size_t n = 0; n < frames; ++n)
    {
        REQUIRE(client->send(frame));
        REQUIRE(net.server->send(frame));
    }
    net.run_until([&] {
        return closed || net.server_closed ||
               (responses == frames && net.received_frames.size() == frames);
    });
    REQUIRE_FALSE(closed);
    REQUIRE_FALSE(net.server_closed);
    client->close_silently();
    net.run_until([&] { return net.server_closed.has_value(); });
}
