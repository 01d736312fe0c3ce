// Tests links over the loopback interface. The other node is a frame acceptor
// that answers only when the test tells it to.
#include <algorithm>
#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

#include "peers/codec.hpp"
#include "peers/peer_links.hpp"
#include "transport/frame_acceptor.hpp"

using namespace yuccafall;
using namespace yuccafall::peers;

namespace {

// Everything runs on the test's thread. The test checks only the order of
// events.
struct silent_node
{
    silent_node()
    {
        transport::acceptor_options options;
        options.kind = transport::channel_kind::traffic;
        acceptor = *transport::frame_acceptor::listen(
            context, {core::ip_address("127.0.0.1"), core::port_number(0)},
            options,
            [this](std::shared_ptr<transport::frame_connection> const& it) {
                sessions.push_back(it);
                it->start(
                    {[this, session = it.get()](std::string const& frame) {
                         auto const m = decode(frame);
                         if (m && std::holds_alternative<ping>(*m))
                         {
                             handle_ping(*session);
                         }
                     },
                     nullptr, [](core::error const&) {}});
            });
        // Longer than the default, so that a delay of the test's process does
        // not close the connection first.
        peer_link_settings settings;
        settings.liveness_timeout = core::milliseconds(3'000);
        links.emplace(
            context,
            core::endpoint{core::ip_address("127.0.0.2"), core::port_number(1)},
            [](message const&, reply_function const&) {}, settings);
        links->on_liveness_change(
            [this](core::endpoint const& node, node_contact contact) {
                REQUIRE(node == acceptor->local());
                switch (contact)
                {
                case node_contact::responsive:
                    add_event("responsive");
                    break;
                case node_contact::unresponsive:
                    add_event("unresponsive");
                    break;
                case node_contact::lost:
                    add_event("lost");
                    break;
                }
            });
    }

    ~silent_node() { acceptor->stop(); }

    link_key key(traffic_class of = traffic_class::short_messages) const
    {
        return {acceptor->local(), of};
    }

    void handle_ping(transport::frame_connection& session)
    {
        if (answers_first_session && &session == sessions.front().get())
        {
            session.send(encode(pong{}));
            return;
        }
        add_event("ping");
    }

    void open_call(std::uint64_t number,
                   traffic_class of = traffic_class::short_messages)
    {
        links->open(
            key(of), call(number),
            {[](message const&) {},
             [this](connection_loss const&) { add_event("disconnected"); }});
    }

    static core::call_id call(std::uint64_t number)
    {
        return {core::incarnation(1), number};
    }

    // Pings are repeated, so only the first in a row is recorded.
    void add_event(std::string it)
    {
        if (events.empty() || events.back() != it)
        {
            events.push_back(std::move(it));
        }
    }

    void run_until_event(std::string const& it)
    {
        auto const end =
            std::chrono::steady_clock::now() + std::chrono::seconds(60);
        auto const has_happened = [&] {
            return std::find(events.begin() + waited_for_, events.end(), it) !=
                   events.end();
        };
        while (!has_happened())
        {
            REQUIRE(std::chrono::steady_clock::now() < end);
            context.restart();
            context.run_one_for(std::chrono::seconds(1));
        }
        waited_for_ = static_cast<long>(events.size());
    }

    boost::asio::io_context context;
    std::vector<std::string> events;
    std::shared_ptr<transport::frame_acceptor> acceptor;
    std::vector<std::shared_ptr<transport::frame_connection>> sessions;
    bool answers_first_session = false;
    std::optional<peer_links> links;

private:
    // Number of events up to which the test has waited.
    long waited_for_ = 0;
};

} // namespace

// Guards against offers to a node that has failed until the liveness timeout,
// and against a timeout that does not close the connection any more.
TEST_CASE("a silent node is pinged, then unresponsive, then disconnected")
{
    silent_node node;
    node.open_call(1);
    node.run_until_event("lost");
    REQUIRE(node.events == std::vector<std::string>{"ping", "unresponsive",
                                                    "ping", "disconnected",
                                                    "lost"});
}

TEST_CASE("an unresponsive node is responsive with its next frame")
{
    silent_node node;
    node.open_call(1);
    node.run_until_event("unresponsive");
    node.sessions.front()->send(encode(pong{}));
    node.run_until_event("responsive");
    // The next call shows that the connection is still in use.
    node.open_call(2);
    node.run_until_event("unresponsive");
    REQUIRE(std::count(node.events.begin(), node.events.end(),
                       "disconnected") == 0);
}

// Guards against a node that has failed and is never noticed because each call
// ends before the threshold, and against one that stays unresponsive since no
// call is open to close its connection.
TEST_CASE("a silent node is noticed after its last call has ended")
{
    silent_node node;
    node.open_call(1);
    node.run_until_event("ping");
    node.links->close(node.key(), silent_node::call(1));
    node.run_until_event("unresponsive");
    node.run_until_event("lost");
    REQUIRE(node.events ==
            std::vector<std::string>{"ping", "unresponsive", "lost"});
}

// Guards against calling a node unresponsive because its answer on the link for
// long bodies waits for bandwidth.
TEST_CASE("a node that answers on its other link is responsive")
{
    silent_node node;
    node.answers_first_session = true;
    node.open_call(1);
    while (node.sessions.empty())
    {
        node.context.restart();
        node.context.run_one();
    }
    node.links->close(node.key(), silent_node::call(1));
    node.open_call(2, traffic_class::long_bodies);
    node.run_until_event("disconnected");
    REQUIRE(node.events == std::vector<std::string>{"ping", "disconnected"});
}
