// Tests that a reserved port can be used on every loopback address, whatever
// sockets other processes have bound there.
#include <algorithm>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <catch2/catch.hpp>

#include "stand_ins/port_reservation.hpp"

using namespace yuccafall;
using namespace yuccafall::stand_ins;
using boost::asio::ip::tcp;

namespace {

// Of about 14,000 ports that the kernel tries first for bind(), these many are
// used and reserved. If the two were chosen independently, no port would be
// both with a probability of about 3 in a million. The sum stays below the
// usual limit of 1,024 descriptors.
constexpr std::size_t used_ports = 600;
constexpr std::size_t reserved_ports = 300;

// No deployment uses the address, so that the test takes no port from a program
// that runs at the same time.
tcp::endpoint node_endpoint(core::port_number port)
{
    return {boost::asio::ip::make_address_v4("127.2.0.1"), port.value()};
}

// Listens as a node does on ports of its address that the kernel chooses.
std::vector<tcp::acceptor>
listen_on_free_ports(boost::asio::io_context& context)
{
    std::vector<tcp::acceptor> out;
    for (std::size_t i = 0; i < used_ports; ++i)
    {
        out.emplace_back(context, node_endpoint(core::port_number(0)));
    }
    return out;
}

} // namespace

// Guards against a node that exits with "Address already in use", because a
// node that a killed test program has left behind listens on its port.
TEST_CASE("a reserved port is not in use on another loopback address")
{
    boost::asio::io_context context;
    auto const used = listen_on_free_ports(context);
    std::vector<port_reservation> const reserved(reserved_ports);
    std::size_t taken = 0;
    for (auto const& it : reserved)
    {
        boost::system::error_code ec;
        tcp::acceptor node(context, tcp::v4());
        node.set_option(tcp::acceptor::reuse_address(true));
        node.bind(node_endpoint(it.port()), ec);
        if (!ec)
        {
            node.listen(tcp::acceptor::max_listen_connections, ec);
        }
        taken += ec ? 1 : 0;
    }
    REQUIRE(taken == 0);
}

// Guards against a node that exits with "Address already in use", because the
// kernel has chosen its port for a socket at its address before it listens.
TEST_CASE("a reserved port is not chosen on another loopback address")
{
    boost::asio::io_context context;
    std::vector<port_reservation> const reserved(reserved_ports);
    auto const used = listen_on_free_ports(context);
    auto const taken = std::count_if(
        used.begin(), used.end(), [&](tcp::acceptor const& acceptor) {
            auto const port = acceptor.local_endpoint().port();
            return std::any_of(reserved.begin(), reserved.end(),
                               [&](port_reservation const& it) {
                                   return it.port().value() == port;
                               });
        });
    REQUIRE(taken == 0);
}
