// Tests of the whole path: nodes as processes, between callers, workers and a
// store that stand in for the platform's.
#include <atomic>
#include <thread>

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include "stand_ins/deployment.hpp"

using namespace yuccafall;
using namespace yuccafall::stand_ins;

namespace {

std::vector<vm_terms> two_services()
{
    return {{"a", "shop", 6, core::milliseconds(10)},
            {"a", "desk", 6, core::milliseconds(10)},
            {"b", "desk", 6, core::milliseconds(10)}};
}

std::vector<route_terms> two_routes()
{
    return {{"/look/", "idempotent", "shop"},
            {"/book/", "non_idempotent", "desk"}};
}

class running : public deployment
{
public:
    explicit running(std::vector<vm_terms> const& vms = two_services(),
                     std::vector<route_terms> const& routes = two_routes())
        : deployment(vms, routes)
    {
        start_nodes();
        for (std::size_t i = 0; i < size(); ++i)
        {
            REQUIRE(wait_ready(i));
            // The worker of each node is known there once it serves.
            REQUIRE(wait_version(i, 2));
        }
    }

    int runs_of(std::string const& id)
    {
        int out = 0;
        for (std::size_t i = 0; i < size(); ++i)
        {
            auto const counts = worker(i).counts();
            auto const found = counts.runs.find(id);
            out += found == counts.runs.end() ? 0 : found->second;
        }
        return out;
    }
};

} // namespace

TEST_CASE("a request is answered by a worker of its route from any node")
{
    running d;
    for (std::size_t i = 0; i < d.size(); ++i)
    {
        auto const id = fmt::format("q{}", i);
        auto const it = d.call(i, deployment::request("/look/x?y=1", id));
        REQUIRE(it.status == 200);
        REQUIRE(it.body == "answer to " + id);
        REQUIRE(http::find_header(it.headers, "Response-Signature"));
        REQUIRE(d.runs_of(id) == 1);
    }
    auto const counts = d.worker(0).counts();
    REQUIRE(counts.origins == std::set<std::string>{"shop", "desk"});
    REQUIRE(d.call(0, deployment::request("/none/", "n")).status == 404);
}

// Guards against a configuration that some nodes do not get.
TEST_CASE("a change of the configuration comes into force on all nodes")
{
    running d;
    auto routes = two_routes();
    routes.push_back({"/new/", "idempotent", "desk"});
    auto const version = d.publish(routes);
    for (std::size_t i = 0; i < d.size(); ++i)
    {
        REQUIRE(d.wait_version(i, version));
        REQUIRE(d.call(i, deployment::request("/new/", "n")).status == 200);
    }
    d.store().drop_history();
    auto const next = d.publish(two_routes());
    for (std::size_t i = 0; i < d.size(); ++i)
    {
        REQUIRE(d.wait_version(i, next));
        REQUIRE(d.call(i, deployment::request("/new/", "m")).status == 404);
    }
}

// Guards against a booking that runs twice, or is said not to have run.
TEST_CASE("a booking whose answer is lost is neither repeated nor denied")
{
    running d;
    d.worker(1).set_fault(worker_fault::loses_answers);
    d.worker(2).set_fault(worker_fault::loses_answers);
    for (int i = 0; i < 10; ++i)
    {
        auto const id = fmt::format("b{}", i);
        auto const it = d.call(0, deployment::request("/book/", id, "POST"));
        REQUIRE(it.status == 502);
        REQUIRE(d.runs_of(id) == 1);
    }
}

TEST_CASE("a lookup whose answer is lost is repeated at another worker")
{
    running d({{"a", "shop", 6, core::milliseconds(5)},
               {"a", "shop", 6, core::milliseconds(5)},
               {"b", "shop", 6, core::milliseconds(5)}},
              {{"/look/", "idempotent", "shop"}});
    d.worker(0).set_fault(worker_fault::loses_answers);
    auto const it = d.call(0, deployment::request("/look/", "l"));
    REQUIRE(it.status == 200);
    REQUIRE(d.runs_of("l") <= 2);
}

// Guards against answers that are not the worker's own.
TEST_CASE("an answer that the worker spoiled is not passed off as its own")
{
    running d;
    d.worker(0).set_fault(worker_fault::cuts_answers);
    auto const it = d.call(1, deployment::request("/look/", "l"));
    REQUIRE(it.status == 502);
    REQUIRE_FALSE(http::find_header(it.headers, "Response-Signature"));
}

TEST_CASE("a refusal by the worker is passed on with a time to come back")
{
    running d;
    d.worker(0).set_fault(worker_fault::rejects);
    auto const it = d.call(1, deployment::request("/look/", "l"));
    REQUIRE(it.status == 503);
    REQUIRE(http::find_header(it.headers, "Retry-After"));
    REQUIRE(d.runs_of("l") == 0);
}

// Pattern "more callers than slots": the worker never sees more than it has
// slots for.
TEST_CASE("a worker gets no more requests than it has slots")
{
    running d({{"a", "shop", 2, core::milliseconds(20)},
               {"a", "desk", 6, core::milliseconds(5)}},
              {{"/look/", "idempotent", "shop"}});
    std::vector<std::thread> callers;
    std::atomic<int> answered{0};
    std::atomic<int> refused{0};
    callers.reserve(8);
    for (int c = 0; c < 8; ++c)
    {
        callers.emplace_back([&, c] {
            for (int i = 0; i < 10; ++i)
            {
                auto const it = d.call(
                    static_cast<std::size_t>(c % 2),
                    deployment::request("/look/", fmt::format("{}-{}", c, i)));
                (it.status == 200 ? answered : refused) += 1;
            }
        });
    }
    for (auto& it : callers)
    {
        it.join();
    }
    auto const counts = d.worker(0).counts();
    REQUIRE(answered + refused == 80);
    REQUIRE(counts.most_running <= 2);
    REQUIRE(counts.rejected == 0);
    REQUIRE(static_cast<int>(counts.runs.size()) == answered);
}

// Guards against calls that a planned stop cuts off.
TEST_CASE("a planned stop cuts no call")
{
    running d;
    std::atomic<bool> stop{false};
    std::atomic<int> cut{0};
    std::atomic<int> answered{0};
    std::thread caller([&] {
        int i = 0;
        while (!stop)
        {
            auto const it =
                d.call(0, deployment::request("/book/", fmt::format("s{}", ++i),
                                              "POST"));
            // A connection that the node does not take any more cuts nothing.
            bool const ran = d.runs_of(fmt::format("s{}", i)) > 0;
            cut += it.status == 0 && ran ? 1 : 0;
            answered += it.status == 200 ? 1 : 0;
        }
    });
    d.node(1).terminate();
    auto const ended = d.node(1).wait_for(core::milliseconds(8'000));
    stop = true;
    caller.join();
    REQUIRE(ended == 0);
    REQUIRE(cut == 0);
    REQUIRE(answered > 0);
}

// Pattern "store down while a node restarts": its peers have the state.
TEST_CASE("a node that starts while the store is down serves from its peers")
{
    running d;
    d.store().set_mode(store_mode::busy);
    d.node(2).kill();
    d.node(2).wait_for(core::milliseconds(5'000));
    d.start_node(2);
    REQUIRE(d.wait_ready(2));
    REQUIRE(d.call(2, deployment::request("/look/", "p")).status == 200);
}

// Guards against an upload that is said to have run perhaps, though its body
// never left (moodboard-upload on a recorded day of kayal-trendhost).
TEST_CASE("an upload to a node that is killed goes elsewhere or did not run")
{
    std::vector<vm_terms> const vms{{"a", "desk", 6, core::milliseconds(5)},
                                    {"a", "shop", 6, core::milliseconds(5)},
                                    {"a", "shop", 6, core::milliseconds(5)}};
    running d(vms, {{"/up/", "upload", "shop"}});
    d.node(1).pause();
    int unknown = 0;
    for (int i = 0; i < 6; ++i)
    {
        auto message =
            deployment::request("/up/", fmt::format("u{}", i), "POST");
        message.body.assign(100'000, 'x');
        auto const it = d.call(0, message, core::milliseconds(4'000));
        unknown += it.status == 502 || it.status == 504 ? 1 : 0;
    }
    d.node(1).resume();
    REQUIRE(unknown == 0);
}

// Guards against new work to a worker that leaves.
TEST_CASE("a worker that drains gets no new calls")
{
    running d;
    d.publish_worker(1, "draining");
    auto const version = d.publish(two_routes());
    for (std::size_t i = 0; i < d.size(); ++i)
    {
        REQUIRE(d.wait_version(i, version));
    }
    auto const before = d.worker(1).counts().arrivals;
    for (int i = 0; i < 20; ++i)
    {
        auto const it = d.call(
            0, deployment::request("/book/", fmt::format("d{}", i), "POST"));
        REQUIRE(it.status == 200);
    }
    REQUIRE(d.worker(1).counts().arrivals == before);
}

// Pattern "one request crashes each worker that runs it".
TEST_CASE("a request that crashes workers is refused after two crashes")
{
    std::vector<vm_terms> const vms(
        5, vm_terms{"a", "shop", 6, core::milliseconds(5)});
    running d(vms, {{"/look/", "idempotent", "shop"}});
    for (std::size_t i = 0; i < d.size(); ++i)
    {
        d.worker(i).set_fault(worker_fault::crashes);
    }
    auto const crashed = [&] {
        int out = 0;
        for (std::size_t i = 0; i < d.size(); ++i)
        {
            out += d.worker(i).counts().runs.empty() ? 0 : 1;
        }
        return out;
    };
    // Repeated once, at another worker.
    d.call(0, deployment::request("/look/crash", "c0"));
    REQUIRE(crashed() == 2);
    for (std::size_t i = 0; i < d.size(); ++i)
    {
        REQUIRE(d.wait_log(i, "event=request_poisoned"));
        auto const it = d.call(
            i, deployment::request("/look/crash", fmt::format("d{}", i)));
        REQUIRE(it.status == 503);
    }
    REQUIRE(crashed() == 2);
}

// Guards against a caller's leaving that the worker never hears of.
TEST_CASE("a lookup that its caller has left is ended at the worker")
{
    running d({{"a", "shop", 6, core::milliseconds(5'000)},
               {"a", "desk", 6, core::milliseconds(5)}},
              {{"/look/", "idempotent", "shop", 8'000, 7'000}});
    auto const it =
        d.call(1, deployment::request("/look/", "g"), core::milliseconds(200));
    REQUIRE(it.status == 0);
    for (int i = 0; i < 400 && d.worker(0).counts().canceled == 0; ++i)
    {
        d.call(1, deployment::request("/none/", "wait"));
    }
    REQUIRE(d.worker(0).counts().canceled == 1);
}

TEST_CASE("operators read back where a version is in force")
{
    running d;
    auto const it =
        call_once(d.operators(0), deployment::request("/where", "w"),
                  core::milliseconds(3'000));
    REQUIRE(it.status == 200);
    REQUIRE(it.body.find("\"complete\":true") != std::string::npos);
    auto const metrics =
        call_once(d.operators(0), deployment::request("/metrics", "m"),
                  core::milliseconds(3'000));
    REQUIRE(metrics.body.find("yuccafall_configuration_version 2") !=
            std::string::npos);
}

TEST_CASE("a reload with faulty settings changes nothing")
{
    running d;
    ::kill(d.node(0).pid(), SIGHUP);
    REQUIRE(d.call(0, deployment::request("/look/", "h")).status == 200);
}
