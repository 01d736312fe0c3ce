// Tests the memory that control frames take, with peers that are plain sockets.
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include "node/control_links.hpp"

using namespace yuccafall;
using boost::asio::ip::tcp;
using core::byte_count;

namespace {

// The time limit only ends a test that fails.
constexpr core::milliseconds test_timeout{10'000};

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
    replication::changes it;
    it.set.items.push_back(
        {"key", std::string(1'000'000, 'x'), core::revision(1), false});
    return it;
}

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
