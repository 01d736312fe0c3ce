// End-to-end tests of offers that are canceled before the node has acted on
// them. The test sends the messages of another node over a connection of its
// own, so that it controls which of them arrive together.
#include <array>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <fmt/format.h>

#include "peers/codec.hpp"
#include "stand_ins/deployment.hpp"
#include "transport/frame_reader.hpp"

using namespace yuccafall;
using namespace yuccafall::stand_ins;
namespace asio = boost::asio;

namespace {

std::string framed(std::string const& frame)
{
    auto const header = transport::encode_frame_length(frame.size());
    return std::string(header.begin(), header.end()) + frame;
}

// Sends the messages in one write on a new connection, and returns once the
// node has handled them all.
void send_together(core::endpoint const& node,
                   std::vector<peers::message> const& messages)
{
    asio::io_context context;
    asio::ip::tcp::socket socket(context);
    socket.connect(
        {asio::ip::make_address(node.address.value()), node.port.value()});
    std::string bytes =
        framed({static_cast<char>(transport::channel_kind::traffic)});
    for (auto const& it : messages)
    {
        bytes += framed(peers::encode(it));
    }
    bytes += framed(peers::encode(peers::ping{}));
    asio::write(socket, asio::buffer(bytes));
    auto const pong = peers::encode(peers::pong{});
    std::string received;
    while (received.find(pong) == std::string::npos)
    {
        std::array<char, 4096> buf{};
        auto const n = socket.read_some(asio::buffer(buf));
        received.append(buf.data(), n);
    }
}

} // namespace

// Guards against a request that reaches its worker although its caller has
// left: the offer and its cancel are in the receive buffer of the node together
// (82 requests in one simulated day with high load). A call that is not
// idempotent is not aborted once it is sent, so each such start shows.
TEST_CASE("an offer that arrives together with its cancel reaches no worker")
{
    deployment fleet({{"a", "shop", 6, core::milliseconds(10)}},
                     {{"/look/", "idempotent", "shop"}});
    fleet.start_nodes();
    REQUIRE(fleet.wait_until_ready(0));
    REQUIRE(fleet.wait_for_version(0, 2));
    // Opens the connection to the worker that later calls reuse.
    REQUIRE(fleet.call(0, deployment::request("/look/", "w")).status == 200);
    for (std::uint64_t n = 1; n <= 20; ++n)
    {
        peers::offer offer;
        offer.call = {core::incarnation(77), n};
        offer.upstream = core::upstream_id(fleet.worker(0).options().id);
        offer.request_id = core::request_id(fmt::format("c{}", n));
        offer.route = core::route_name("r/look/");
        offer.repeatability = n % 2 == 0
                                  ? routing::repeatability::non_idempotent
                                  : routing::repeatability::idempotent;
        offer.deadline_remaining = core::milliseconds(2'000);
        offer.target_latency_remaining = core::milliseconds(500);
        offer.http_request =
            deployment::request("/look/", offer.request_id.value());
        send_together(fleet.traffic_endpoint(0),
                      {offer, peers::cancel{offer.call}});
    }
    // The slots of the canceled calls are free.
    for (int n = 0; n < 6; ++n)
    {
        auto const id = fmt::format("l{}", n);
        REQUIRE(fleet.call(0, deployment::request("/look/", id)).status == 200);
    }
    REQUIRE(fleet.worker(0).counts().arrivals == 7);
    CHECK(fleet.log(0).find("event=handler_failed") == std::string::npos);
}
