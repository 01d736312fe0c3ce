// Tests the calls to a worker with connections over the loopback interface. All
// handlers run on the test's thread, so the order of their events is fixed.
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include "peers/codec.hpp"
#include "peers/peer_server.hpp"
#include "transport/frame_reader.hpp"
#include "transport/tests/delivery.hpp"
#include "upstream/worker_owner.hpp"

using namespace yuccafall;
using namespace yuccafall::upstream;
namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

// The fields of a platform whose workers sign all responses and report that
// they run nothing.
metadata::response_metadata read_idle_response(http::response const&)
{
    metadata::response_metadata it;
    it.has_signature = true;
    it.load.emplace();
    return it;
}

metadata::header_codec idle_worker_codec()
{
    return {
        [](http::header_list const&) { return metadata::caller_metadata{}; },
        [](http::header_list&, metadata::worker_metadata const&) {},
        read_idle_response};
}

std::string framed(std::string const& frame)
{
    auto const header = transport::encode_frame_length(frame.size());
    return std::string(header.begin(), header.end()) + frame;
}

// Writes the bytes and returns once they are in the receiver's buffer.
void deliver(tcp::socket& to, std::string const& bytes)
{
    asio::write(to, asio::buffer(bytes));
    transport::tests::wait_until_delivered(to);
}

// An owner whose worker is a socket of the test, and a connection on which the
// test sends the frames of another node.
struct owner_fixture
{
    explicit owner_fixture(std::uint32_t slots)
        : acceptor(context, {asio::ip::address_v4::loopback(), 0}),
          worker(context), peer(context)
    {
        worker_owner_settings settings;
        settings.worker_endpoint = {
            core::ip_address("127.0.0.1"),
            core::port_number(acceptor.local_endpoint().port())};
        owner = std::make_shared<worker_owner>(
            context, settings, idle_worker_codec(),
            [](poison::notice const&) {}, counts);
        owner->set_workers({{core::upstream_id("w"), core::worker_start(1),
                             core::slot_count(slots)}});
        server = *peers::peer_server::listen(
            context, {core::ip_address("127.0.0.1"), core::port_number(0)},
            {[this](peers::session_id from, peers::message message,
                    peers::reply_function const&) {
                 session = from;
                 owner->handle(from, std::move(message),
                               [](peers::message const&) {});
             },
             [this](peers::session_id it) { owner->on_session_closed(it); }});
        peer.connect(
            {asio::ip::address_v4::loopback(), server->local().port.value()});
        deliver(peer,
                framed({static_cast<char>(transport::channel_kind::traffic)}));
        deliver(peer, framed(peers::encode(peers::ping{})));
        run_until([&] { return session.value() != 0; });
    }

    ~owner_fixture()
    {
        owner->close();
        server->stop();
        context.restart();
        context.poll();
    }

    void run_until(std::function<bool()> const& condition)
    {
        auto const end = core::boot_clock::now() + std::chrono::seconds(60);
        while (!condition())
        {
            context.restart();
            context.run_one_for(std::chrono::seconds(1));
            REQUIRE(core::boot_clock::now() < end);
        }
    }

    // Offers a call from the session of the other node.
    void
    offer(std::uint64_t call,
          routing::repeatability kind = routing::repeatability::non_idempotent)
    {
        peers::offer it;
        it.call = call_of(call);
        it.upstream = core::upstream_id("w");
        it.repeatability = kind;
        it.deadline_remaining = core::milliseconds(60'000);
        it.target_latency_remaining = core::milliseconds(60'000);
        it.http_request.method = "GET";
        it.http_request.target = "/";
        owner->handle(session, it, [this](peers::message const& m) {
            auto const* refusal = std::get_if<peers::refused>(&m);
            if (refusal != nullptr)
            {
                refusals.push_back(refusal->kind);
            }
        });
    }

    void accept_request()
    {
        run_until([&] { return counts->runs > accepted; });
        acceptor.accept(worker);
        ++accepted;
        asio::streambuf request;
        run_until([&] { return worker.available() > 0; });
        asio::read_until(worker, request, "\r\n\r\n");
    }

    void respond()
    {
        deliver(worker, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    }

    void cancel(std::uint64_t call)
    {
        deliver(peer, framed(peers::encode(peers::cancel{call_of(call)})));
    }

    static core::call_id call_of(std::uint64_t it)
    {
        return {core::incarnation(1), it};
    }

    asio::io_context context{1};
    tcp::acceptor acceptor;
    tcp::socket worker;
    tcp::socket peer;
    std::shared_ptr<counters> counts = std::make_shared<counters>();
    std::shared_ptr<worker_owner> owner;
    std::shared_ptr<peers::peer_server> server;
    peers::session_id session;
    std::uint64_t accepted = 0;
    std::vector<core::error_kind> refusals;
};

} // namespace

// Guards against a call that is sent to its worker although its cancel has
// arrived on a socket that this thread has not checked since.
TEST_CASE("a call is not started if its cancel is in a receive buffer")
{
    owner_fixture it(1);
    asio::post(it.context, [&] {
        it.cancel(1);
        it.offer(1);
    });
    it.run_until([&] { return it.counts->canceled == 1; });
    REQUIRE(it.counts->runs == 0);
    REQUIRE(it.owner->running() == 0);
    it.offer(2);
    it.accept_request();
    REQUIRE(it.counts->runs == 1);
    it.respond();
    it.run_until([&] { return it.owner->running() == 0; });
}

// Guards against the same for a call that waits: the end of the run that it
// waits for is handled before its cancel.
TEST_CASE("a waiting call is not started if its cancel has arrived")
{
    owner_fixture it(1);
    it.offer(1);
    it.accept_request();
    it.offer(2);
    it.respond();
    it.cancel(2);
    it.run_until([&] { return it.counts->canceled == 1; });
    REQUIRE(it.counts->runs == 1);
    REQUIRE(it.owner->running() == 0);
}

// Guards against a call that is sent to the worker after this node has stopped
// taking calls for it, or after the node that offered it has gone.
TEST_CASE("a call that is not sent yet ends with a drain and with its session")
{
    SECTION("drain")
    {
        owner_fixture it(1);
        it.offer(1);
        it.owner->start_draining();
        REQUIRE(it.refusals == std::vector{core::error_kind::leaving});
        REQUIRE(it.owner->running() == 0);
    }
    SECTION("evacuation")
    {
        owner_fixture it(1);
        it.offer(1);
        it.owner->set_workers({{core::upstream_id("w"), core::worker_start(1),
                                core::slot_count(1), false, true}});
        REQUIRE(it.refusals == std::vector{core::error_kind::evacuated});
        REQUIRE(it.owner->running() == 0);
    }
    SECTION("session")
    {
        owner_fixture it(1);
        it.offer(1);
        it.offer(2);
        it.owner->on_session_closed(it.session);
        it.context.restart();
        it.context.poll();
        REQUIRE(it.counts->canceled == 2);
        REQUIRE(it.counts->runs == 0);
        REQUIRE(it.owner->running() == 0);
    }
}

// Guards against a crash of the node: its thread was delayed, and the queue
// counts a call as lost that has not been sent to the worker yet.
TEST_CASE("a call that counts as lost before it is sent is refused")
{
    owner_fixture it(2);
    it.offer(1);
    it.accept_request();
    it.offer(2, routing::repeatability::idempotent);
    it.respond();
    std::this_thread::sleep_for(std::chrono::milliseconds(600));
    it.run_until([&] { return it.owner->running() == 0; });
    REQUIRE(it.refusals == std::vector{core::error_kind::overloaded});
    REQUIRE(it.counts->runs == 1);
}
