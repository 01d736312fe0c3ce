// Tests the offer of a call and the attempt that it begins.
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

#include "ingress/call_offer.hpp"
#include "ingress/open_attempt.hpp"

using namespace yuccafall;
using namespace yuccafall::ingress;
using core::milliseconds;

namespace {

core::instant const now{std::chrono::hours(1)};

// An attempt at the node itself, whose messages need no connection.
struct attempt_fixture
{
    explicit attempt_fixture(std::size_t body_size)
    {
        route.name = core::route_name("r");
        terms.route = &route;
        terms.deadline = now + milliseconds(500);
        terms.target_time = now - milliseconds(1);
        request.method = "POST";
        request.body.assign(body_size, 'x');
        offer = make_offer(terms, request, now);
        offer.call = {core::incarnation(1), 1};
        offer.has_alternative = true;
        links = std::make_shared<peers::peer_links>(
            context, self,
            [this](peers::message it, peers::reply_function const&) {
                received.push_back(std::move(it));
            });
        attempt = std::make_unique<open_attempt>(
            links, peers::link_key{self}, offer,
            peers::call_handlers{[](peers::message const&) {},
                                 [](peers::connection_loss const&) {}});
    }

    bool may_have_run_after_loss() const
    {
        auto const result =
            attempt->result_of(peers::connection_loss{true, "reset"});
        return std::get<connection_lost>(result).may_have_run;
    }

    boost::asio::io_context context{1};
    core::endpoint self{core::ip_address("127.0.0.1"), core::port_number(1)};
    routing::route route;
    call_terms terms;
    http::request request;
    peers::offer offer;
    std::vector<peers::message> received;
    std::shared_ptr<peers::peer_links> links;
    std::unique_ptr<open_attempt> attempt;
};

} // namespace

// Guards against a call that is given up after the loss of a connection,
// although the other node cannot have run it without its body.
TEST_CASE("a call with a separate body cannot have run before it is sent")
{
    attempt_fixture it(transport::max_unpaced_message.value() + 1);
    REQUIRE(it.offer.body_follows);
    REQUIRE(it.offer.http_request.body.empty());
    REQUIRE_FALSE(it.may_have_run_after_loss());
    it.attempt->send_body(it.request.body);
    REQUIRE(it.may_have_run_after_loss());
    it.attempt->cancel();
    it.context.poll();
    REQUIRE(it.received.size() == 3);
    REQUIRE(std::get<peers::body_data>(it.received[1]).bytes ==
            it.request.body);
    REQUIRE(std::get<peers::cancel>(it.received[2]).call == it.offer.call);
    it.attempt->close();
}

// Guards against a call that runs twice because its first run is taken to be
// impossible, and against a refusal that is not known to have required a slot.
TEST_CASE("a call with a short body may have run once it is offered")
{
    attempt_fixture it(transport::max_unpaced_message.value());
    REQUIRE_FALSE(it.offer.body_follows);
    REQUIRE(it.offer.http_request.body == it.request.body);
    REQUIRE(it.may_have_run_after_loss());
    auto const refused = it.attempt->result_of(peers::refused{});
    REQUIRE(std::get<attempt_refused>(refused).required_free_slot);
    it.attempt->close();
}

// Guards against a negative time, which other nodes would have to interpret.
TEST_CASE("an offer states no time for a target that can no longer be met")
{
    attempt_fixture it(0);
    REQUIRE(it.offer.deadline_remaining == milliseconds(500));
    REQUIRE(it.offer.target_latency_remaining == milliseconds(0));
    it.attempt->close();
}
