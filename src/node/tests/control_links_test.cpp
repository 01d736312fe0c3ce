// Tests the memory that control frames take, with peers that are plain sockets.
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include "node/control_links.hpp"
#include "replication/codec.hpp"

using namespace yuccafall;
using boost::asio::ip::tcp;
using core::byte_count;

namespace {

// The time limit only ends a test that fails.
constexpr core::milliseconds test_timeout{10'000};

replication::changes make_changes(std::size_t size)
{
    replication::changes it;
    it.set.items.push_back(
        {"key", std::string(size, 'x'), core::revision(1), false});
    return it;
}

// The first byte says that a message of the replication follows.
std::string framed(replication::message const& it)
{
    auto const frame = '\1' + replication::encode(it);
    auto const header = transport::encode_frame_length(frame.size());
    return std::string(header.begin(), header.end()) + frame;
}

// A node that accepts control connections, and sockets that connect to it.
class node_with_peers
{
public:
    explicit node_with_peers(byte_count limit)
        : memory(std::make_shared<core::memory_part>(limit)),
          links(std::make_shared<node::control_links>(
              context_, memory,
              [this](replication::replicator_event const& it) { handle(it); },
              [](poison::notice const&) {}))
    {
        REQUIRE(links->listen(
            {core::ip_address("127.0.0.1"), core::port_number(0)}));
    }

    ~node_with_peers() { links->stop(); }

    // Opens a connection from which the peer reads nothing.
    replication::link_id connect()
    {
        auto& peer =
            *peers_.emplace_back(std::make_unique<tcp::socket>(context_));
        peer.connect({boost::asio::ip::address_v4::loopback(),
                      links->local().port.value()});
        // The first frame of a control connection: its length and its kind.
        boost::asio::write(peer,
                           boost::asio::buffer(std::string("\0\0\0\1\2", 5)));
        auto const before = opened_.size();
        run_until([&] { return opened_.size() > before; });
        return opened_.back();
    }

    // Requests the changes as the last peer that has connected.
    void request(core::revision as_of = {})
    {
        boost::asio::write(*peers_.back(), boost::asio::buffer(framed(
                                               replication::pull{as_of})));
    }

    // Reads as many bytes as the peer with this index is about to get. The
    // result states how many have arrived.
    std::shared_ptr<std::size_t> read(std::size_t peer, std::size_t size)
    {
        auto const buf = std::make_shared<std::string>(size, '\0');
        auto received = std::make_shared<std::size_t>(0);
        boost::asio::async_read(
            *peers_.at(peer), boost::asio::buffer(*buf),
            [buf, received](boost::system::error_code const&, std::size_t n) {
                *received = n;
            });
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

    std::vector<replication::link_id> lost;
    // The node's state has this size, which is sent to each peer that requests
    // it.
    std::size_t state_size = 0;
    // What the peers have requested, in the order of the node's responses.
    std::vector<core::revision> requested;

private:
    void handle(replication::replicator_event const& it)
    {
        if (auto const* opened = std::get_if<replication::link_opened>(&it))
        {
            opened_.push_back(opened->link);
        }
        if (auto const* gone = std::get_if<replication::link_lost>(&it))
        {
            lost.push_back(gone->link);
        }
        auto const* received = std::get_if<replication::message_received>(&it);
        if (received == nullptr)
        {
            return;
        }
        auto const* pull = std::get_if<replication::pull>(&received->content);
        if (pull != nullptr)
        {
            requested.push_back(pull->as_of);
            links->send(received->link, make_changes(state_size));
        }
    }

    boost::asio::io_context context_;
    std::vector<replication::link_id> opened_;
    std::vector<std::unique_ptr<tcp::socket>> peers_;

public:
    std::shared_ptr<core::memory_part> memory;
    std::shared_ptr<node::control_links> links;
};

replication::message large_message()
{
    return make_changes(1'000'000);
}

// More than the kernel takes for a peer that does not read.
constexpr std::size_t large_state = 24'000'000;
constexpr byte_count less_than_state(8'000'000);

} // namespace

// Guards against peers that do not read and whose control frames are held
// without limit over all connections.
TEST_CASE("control frames count, and the slowest peer is closed for others")
{
    node_with_peers it(byte_count(20'000'000));
    auto const first = it.connect();
    auto const second = it.connect();
    for (int n = 0; n < 15; ++n)
    {
        it.links->send(first, large_message());
    }
    REQUIRE(it.memory->used() > byte_count(5'000'000));
    REQUIRE(it.memory->used() <= it.memory->limit());
    for (int n = 0; n < 15; ++n)
    {
        it.links->send(second, large_message());
        REQUIRE(it.memory->used() <= it.memory->limit());
    }
    it.run_until([&] { return !it.lost.empty(); });
    REQUIRE(it.lost == std::vector{first});
}

// Guards against transfers of the whole state that end each other, so that no
// node gets the state.
TEST_CASE("two nodes that request a state above the limit both get it")
{
    node_with_peers it(less_than_state);
    it.state_size = large_state;
    it.connect();
    it.request();
    it.run_until([&] { return it.memory->used() > it.memory->limit(); });
    it.connect();
    it.request();
    it.run_until([&] { return it.requested.size() == 2; });
    auto const size = framed(make_changes(large_state)).size();
    auto const first = it.read(0, size);
    auto const second = it.read(1, size);
    it.run_until([&] { return *first > 0 && *second > 0; });
    REQUIRE(*first == size);
    REQUIRE(*second == size);
    REQUIRE(it.lost.empty());
}

// Guards against changes to another node that end the transfer of a state above
// the limit, which then begins again.
TEST_CASE("long changes wait for a state above the limit that is being sent")
{
    node_with_peers it(less_than_state);
    it.state_size = large_state;
    it.connect();
    it.request();
    it.run_until([&] { return it.memory->used() > it.memory->limit(); });
    auto const other = it.connect();
    it.state_size = 1'000'000;
    it.links->send(other, make_changes(it.state_size));
    auto const state_size = framed(make_changes(large_state)).size();
    auto const changes_size = framed(make_changes(it.state_size)).size();
    auto const first = it.read(0, state_size);
    auto const second = it.read(1, changes_size);
    it.run_until([&] { return *first > 0 && *second > 0; });
    REQUIRE(*first == state_size);
    REQUIRE(*second == changes_size);
    REQUIRE(it.lost.empty());
}

// Guards against a node that requests the state, reads none of it and keeps all
// others waiting.
TEST_CASE("a node that does not read the state gives way to one that waits")
{
    node_with_peers it(less_than_state);
    it.state_size = large_state;
    auto const first = it.connect();
    it.request();
    it.run_until([&] { return it.memory->used() > it.memory->limit(); });
    it.connect();
    it.request();
    auto const size = framed(make_changes(large_state)).size();
    auto const second = it.read(1, size);
    it.run_until([&] { return *second > 0; });
    REQUIRE(*second == size);
    REQUIRE(it.lost == std::vector{first});
}
