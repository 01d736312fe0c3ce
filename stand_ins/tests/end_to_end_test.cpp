// End-to-end tests. The nodes run as processes of the real program, and the
// callers, the workers and the platform's store are fakes in this process.
#include <atomic>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <thread>

#include <sys/stat.h>

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include "stand_ins/deployment.hpp"

using namespace yuccafall;
using namespace yuccafall::stand_ins;

namespace {

std::vector<vm_options> default_vms()
{
    return {{"a", "shop", 6, core::milliseconds(10)},
            {"a", "desk", 6, core::milliseconds(10)},
            {"b", "desk", 6, core::milliseconds(10)}};
}

std::vector<route_options> default_routes()
{
    return {{"/look/", "idempotent", "shop"},
            {"/book/", "non_idempotent", "desk"}};
}

class running_deployment : public deployment
{
public:
    explicit running_deployment(
        std::vector<vm_options> const& vms = default_vms(),
        std::vector<route_options> const& routes = default_routes())
        : deployment(vms, routes)
    {
        start_nodes();
        for (std::size_t i = 0; i < size(); ++i)
        {
            REQUIRE(wait_until_ready(i));
            // The workers are published before the first configuration, which
            // has version 2, so a node that has applied the configuration knows
            // its worker too.
            REQUIRE(wait_for_version(i, 2));
        }
    }

    // Every test checks that no exception has ended a handler.
    ~running_deployment()
    {
        for (std::size_t i = 0; i < size(); ++i)
        {
            CHECK(log(i).find("event=handler_failed") == std::string::npos);
        }
    }

    // Waits until the node has logged a change and has passed it on to the
    // thread that handles requests. A response to a request for its status
    // comes after that.
    bool wait_until_in_force(std::size_t vm, std::string const& log_text)
    {
        return wait_for_log(vm, log_text) && wait_for_version(vm, 2);
    }

    // Returns whether the node's metrics contain the line.
    bool has_metric(std::size_t vm, std::string const& line)
    {
        auto const it =
            send_request(admin_endpoint(vm), request("/metrics", "m"),
                         core::milliseconds(3'000));
        return it.body.find("\n" + line + "\n") != std::string::npos;
    }

    int count_runs(std::string const& id)
    {
        int total = 0;
        for (std::size_t i = 0; i < size(); ++i)
        {
            auto const counts = worker(i).counts();
            auto const found = counts.runs.find(id);
            total += found == counts.runs.end() ? 0 : found->second;
        }
        return total;
    }
};

} // namespace

TEST_CASE("every node forwards a request to a worker of the matching route")
{
    running_deployment fleet;
    for (std::size_t i = 0; i < fleet.size(); ++i)
    {
        auto const id = fmt::format("q{}", i);
        auto const it = fleet.call(i, deployment::request("/look/x?y=1", id));
        REQUIRE(it.status == 200);
        REQUIRE(it.body == "answer to " + id);
        REQUIRE(http::find_header(it.headers, "Response-Signature"));
        REQUIRE(fleet.count_runs(id) == 1);
    }
    auto const counts = fleet.worker(0).counts();
    REQUIRE(counts.caller_services == std::set<std::string>{"shop", "desk"});
    REQUIRE(fleet.call(0, deployment::request("/none/", "n")).status == 404);
}

// Guards against a configuration change that does not reach all nodes, also
// when the store discards its history between two changes.
TEST_CASE("a configuration change is applied by all nodes")
{
    running_deployment fleet;
    auto routes = default_routes();
    routes.push_back({"/new/", "idempotent", "desk"});
    auto const version = fleet.publish(routes);
    for (std::size_t i = 0; i < fleet.size(); ++i)
    {
        REQUIRE(fleet.wait_for_version(i, version));
        REQUIRE(fleet.call(i, deployment::request("/new/", "n")).status == 200);
    }
    fleet.store().discard_history();
    auto const next_version = fleet.publish(default_routes());
    for (std::size_t i = 0; i < fleet.size(); ++i)
    {
        REQUIRE(fleet.wait_for_version(i, next_version));
        REQUIRE(fleet.call(i, deployment::request("/new/", "m")).status == 404);
    }
}

// Guards against a non-idempotent request that runs twice, or that is reported
// as not run although it has run, because the worker's response was lost.
TEST_CASE("a non-idempotent request whose response is lost is neither retried "
          "nor reported as not run")
{
    running_deployment fleet;
    fleet.worker(1).set_fault(worker_fault::drops_responses);
    fleet.worker(2).set_fault(worker_fault::drops_responses);
    for (int i = 0; i < 10; ++i)
    {
        auto const id = fmt::format("b{}", i);
        auto const it =
            fleet.call(0, deployment::request("/book/", id, "POST"));
        REQUIRE(it.status == 502);
        REQUIRE(fleet.count_runs(id) == 1);
    }
}

TEST_CASE(
    "an idempotent request whose response is lost is retried at another worker")
{
    running_deployment fleet({{"a", "shop", 6, core::milliseconds(5)},
                              {"a", "shop", 6, core::milliseconds(5)},
                              {"b", "shop", 6, core::milliseconds(5)}},
                             {{"/look/", "idempotent", "shop"}});
    fleet.worker(0).set_fault(worker_fault::drops_responses);
    auto const it = fleet.call(0, deployment::request("/look/", "l"));
    REQUIRE(it.status == 200);
    REQUIRE(fleet.count_runs("l") <= 2);
}

// Guards against an invalid response of a worker that the node forwards as the
// worker's signed response.
TEST_CASE("an invalid worker response is replaced by an unsigned 502 response")
{
    running_deployment fleet;
    fleet.worker(0).set_fault(worker_fault::adds_content_encoding);
    auto const it = fleet.call(1, deployment::request("/look/", "l"));
    REQUIRE(it.status == 502);
    REQUIRE_FALSE(http::find_header(it.headers, "Response-Signature"));
}

TEST_CASE(
    "a request that its worker rejects gets a 503 response with Retry-After")
{
    running_deployment fleet;
    fleet.worker(0).set_fault(worker_fault::rejects_requests);
    auto const it = fleet.call(1, deployment::request("/look/", "l"));
    REQUIRE(it.status == 503);
    REQUIRE(http::find_header(it.headers, "Retry-After"));
    REQUIRE(fleet.count_runs("l") == 0);
}

// Guards against nodes that together send a worker more requests at a time than
// it has slots, when there are more callers than slots.
TEST_CASE("a worker gets no more concurrent requests than it has slots")
{
    running_deployment fleet({{"a", "shop", 2, core::milliseconds(20)},
                              {"a", "desk", 6, core::milliseconds(5)}},
                             {{"/look/", "idempotent", "shop"}});
    std::vector<std::thread> callers;
    std::atomic<int> succeeded{0};
    std::atomic<int> failed{0};
    callers.reserve(8);
    for (int c = 0; c < 8; ++c)
    {
        callers.emplace_back([&, c] {
            for (int i = 0; i < 10; ++i)
            {
                auto const it = fleet.call(
                    static_cast<std::size_t>(c % 2),
                    deployment::request("/look/", fmt::format("{}-{}", c, i)));
                (it.status == 200 ? succeeded : failed) += 1;
            }
        });
    }
    for (auto& it : callers)
    {
        it.join();
    }
    auto const counts = fleet.worker(0).counts();
    REQUIRE(succeeded + failed == 80);
    REQUIRE(counts.max_running <= 2);
    REQUIRE(counts.rejected == 0);
    REQUIRE(static_cast<int>(counts.runs.size()) == succeeded);
}

// Guards against a graceful stop of a node that aborts calls in progress.
TEST_CASE("a graceful stop aborts no call")
{
    running_deployment fleet;
    std::atomic<bool> stop{false};
    std::atomic<int> aborted{0};
    std::atomic<int> succeeded{0};
    std::thread caller([&] {
        int i = 0;
        while (!stop)
        {
            auto const it = fleet.call(
                0,
                deployment::request("/book/", fmt::format("s{}", ++i), "POST"));
            // A call that did not run was not aborted: the node no longer
            // accepts its connection.
            bool const ran = fleet.count_runs(fmt::format("s{}", i)) > 0;
            aborted += it.status == 0 && ran ? 1 : 0;
            succeeded += it.status == 200 ? 1 : 0;
        }
    });
    fleet.node(1).terminate();
    auto const exit_status = fleet.node(1).wait_for(core::milliseconds(8'000));
    stop = true;
    caller.join();
    REQUIRE(exit_status == 0);
    REQUIRE(aborted == 0);
    REQUIRE(succeeded > 0);
}

// Report of other operators: requests that came late in the grace of a planned
// stop were passed on and cut at its end. Half of the grace was taken to be
// enough for any route; a run of 2.8 s that began then did not end in time.
TEST_CASE("a request late in a graceful stop gets a whole response")
{
    std::vector<vm_options> const vms{
        {"a", "shop", 6, core::milliseconds(10)},
        {"a", "desk", 64, core::milliseconds(2'800)}};
    running_deployment fleet(vms,
                             {{"/book/", "non_idempotent", "desk", 5'000}});
    std::atomic<bool> stop{false};
    std::atomic<int> cut{0};
    std::atomic<int> answered{0};
    constexpr int caller_count = 8;
    std::vector<std::thread> callers;
    callers.reserve(caller_count);
    for (int caller = 0; caller < caller_count; ++caller)
    {
        callers.emplace_back([&, caller] {
            for (int i = 0; !stop; ++i)
            {
                auto const id = fmt::format("c{}-{}", caller, i);
                auto const it =
                    fleet.call(0, deployment::request("/book/", id, "POST"),
                               core::milliseconds(7'000));
                cut += it.status == 0 && fleet.count_runs(id) > 0 ? 1 : 0;
                answered += it.status != 0 ? 1 : 0;
            }
        });
    }
    REQUIRE(fleet.wait_until_running(1));
    fleet.node(0).terminate();
    auto const exit_status = fleet.node(0).wait_for(core::milliseconds(9'000));
    stop = true;
    for (auto& it : callers)
    {
        it.join();
    }
    REQUIRE(exit_status == 0);
    REQUIRE(cut == 0);
    REQUIRE(answered > 0);
}

// Guards against one new word of the platform that takes the whole fleet out of
// service.
TEST_CASE("good routes are served beside unknown words of the store")
{
    running_deployment fleet;
    fleet.store().put(
        "servers/i-new",
        R"({"service":"shop","address":"127.0.0.1:9","zone":"a","slots":6,)"
        R"("state":"hibernating","cold_left_ms":0,"colour":"blue"})");
    auto routes = default_routes();
    routes.push_back({"/replay/", "replay", "shop"});
    auto const version = fleet.publish(routes);
    for (std::size_t i = 0; i < fleet.size(); ++i)
    {
        REQUIRE(fleet.wait_for_version(i, version));
        REQUIRE(fleet.wait_for_log(i, "event=route_kind_unknown"));
        for (auto const* path : {"/look/", "/replay/"})
        {
            REQUIRE(
                fleet.call(i, deployment::request(path, fmt::format("u{}", i)))
                    .status == 200);
        }
    }
}

// Guards against a node that cannot restart during an outage of the store,
// although its peers have the state.
TEST_CASE(
    "a node that starts during a store outage gets its state from its peers")
{
    running_deployment fleet;
    fleet.store().set_mode(store_mode::unavailable);
    fleet.node(2).kill();
    fleet.node(2).wait_for(core::milliseconds(5'000));
    fleet.start_node(2);
    REQUIRE(fleet.wait_until_ready(2));
    REQUIRE(fleet.call(2, deployment::request("/look/", "p")).status == 200);
}

// Guards against a test of a paused node that fails because a thread of the
// node has still handled a message after pause().
TEST_CASE("no thread of a paused node runs")
{
    running_deployment fleet({{"a", "shop", 6, core::milliseconds(5)}},
                             {{"/look/", "idempotent", "shop"}});
    auto const threads = fmt::format("/proc/{}/task", fleet.node(0).pid());
    int running = 0;
    for (int i = 0; i < 100; ++i)
    {
        fleet.node(0).pause();
        for (auto const& it : std::filesystem::directory_iterator(threads))
        {
            std::ifstream file(it.path() / "status");
            std::string const status{std::istreambuf_iterator<char>(file), {}};
            running += status.find("\nState:\tT") == std::string::npos ? 1 : 0;
        }
        fleet.node(0).resume();
        REQUIRE(fleet.call(0, deployment::request("/look/", "l")).status ==
                200);
    }
    REQUIRE(running == 0);
}

// Guards against an upload whose outcome is reported as unknown although its
// body was never sent (seen with moodboard-upload on a recorded day of
// kayal-trendhost). The paused node stands for one that no longer responds.
TEST_CASE("an upload to an unresponsive node is retried or reported as not run")
{
    std::vector<vm_options> const vms{{"a", "desk", 6, core::milliseconds(5)},
                                      {"a", "shop", 6, core::milliseconds(5)},
                                      {"a", "shop", 6, core::milliseconds(5)}};
    running_deployment fleet(vms, {{"/up/", "upload", "shop"}});
    fleet.node(1).pause();
    int unknown_outcomes = 0;
    for (int i = 0; i < 6; ++i)
    {
        auto message =
            deployment::request("/up/", fmt::format("u{}", i), "POST");
        message.body.assign(100'000, 'x');
        auto const it = fleet.call(0, message, core::milliseconds(4'000));
        unknown_outcomes += it.status == 502 || it.status == 504 ? 1 : 0;
    }
    fleet.node(1).resume();
    INFO(fleet.log(0));
    REQUIRE(unknown_outcomes == 0);
}

// Guards against a call that waits at a failed node until its deadline although
// another worker could run it. The paused node stands for one that has failed.
TEST_CASE("an idempotent call leaves an unresponsive node")
{
    std::vector<vm_options> const vms{
        {"a", "desk", 6, core::milliseconds(5)},
        {"a", "shop", 6, core::milliseconds(3'000)},
        {"a", "shop", 6, core::milliseconds(3'000)}};
    running_deployment fleet(vms, {{"/look/", "idempotent", "shop", 20'000}});
    call_result response;
    std::thread caller([&] {
        response = fleet.call(0, deployment::request("/look/", "l"),
                              core::milliseconds(20'000));
    });
    auto const has_run = [&](std::size_t vm) {
        return !fleet.worker(vm).counts().runs.empty();
    };
    bool const has_started =
        fleet.poll_until([&] { return has_run(1) || has_run(2); });
    std::size_t const first = has_run(1) ? 1 : 2;
    fleet.node(first).pause();
    bool const moved = fleet.poll_until([&] {
        return has_run(3 - first);
    }) && fleet.has_metric(0, "yuccafall_unresponsive_moved_total 1");
    caller.join();
    fleet.node(first).resume();
    INFO(fleet.log(0));
    REQUIRE(has_started);
    REQUIRE(moved);
    REQUIRE(response.status == 200);
}

// Guards against new calls that are sent to a draining worker.
TEST_CASE("a draining worker gets no new calls")
{
    running_deployment fleet;
    fleet.publish_worker(1, "draining");
    auto const version = fleet.publish(default_routes());
    for (std::size_t i = 0; i < fleet.size(); ++i)
    {
        REQUIRE(fleet.wait_for_version(i, version));
    }
    auto const arrivals_before = fleet.worker(1).counts().arrivals;
    for (int i = 0; i < 20; ++i)
    {
        auto const it = fleet.call(
            0, deployment::request("/book/", fmt::format("d{}", i), "POST"));
        REQUIRE(it.status == 200);
    }
    REQUIRE(fleet.worker(1).counts().arrivals == arrivals_before);
}

// Guards against a request that crashes each worker that runs it, one after
// another, because the nodes keep sending it to further workers.
TEST_CASE("a request that has crashed two workers is rejected")
{
    std::vector<vm_options> const vms(
        5, vm_options{"a", "shop", 6, core::milliseconds(5)});
    running_deployment fleet(vms, {{"/look/", "idempotent", "shop"}});
    for (std::size_t i = 0; i < fleet.size(); ++i)
    {
        fleet.worker(i).set_fault(worker_fault::crashes);
    }
    // Every run of the request crashes its worker, so the workers with a run
    // are those that have crashed.
    auto const count_crashed_workers = [&] {
        int total = 0;
        for (std::size_t i = 0; i < fleet.size(); ++i)
        {
            total += fleet.worker(i).counts().runs.empty() ? 0 : 1;
        }
        return total;
    };
    // The call is retried once at another worker, so it crashes two workers.
    fleet.call(0, deployment::request("/look/crash", "c0"));
    REQUIRE(count_crashed_workers() == 2);
    for (std::size_t i = 0; i < fleet.size(); ++i)
    {
        REQUIRE(fleet.wait_for_log(i, "event=request_poisoned"));
        auto const it = fleet.call(
            i, deployment::request("/look/crash", fmt::format("d{}", i)));
        REQUIRE(it.status == 503);
    }
    REQUIRE(count_crashed_workers() == 2);
}

// Guards against a request that crashes worker after worker unnoticed, because
// its caller has disconnected before each crash (review/2).
TEST_CASE("a crash is noticed although the caller has disconnected")
{
    running_deployment fleet(
        {{"a", "shop", 6, core::milliseconds(20'000)},
         {"a", "desk", 6, core::milliseconds(5)}},
        {{"/buy/", "non_idempotent", "shop", 30'000, 7'000}});
    auto const it = fleet.call(1, deployment::request("/buy/x", "g", "POST"),
                               core::milliseconds(200));
    REQUIRE(it.status == 0);
    REQUIRE(fleet.worker(0).counts().runs.count("g") == 1);
    // The calls give the nodes time to learn that the caller has left.
    for (int i = 0; i < 100; ++i)
    {
        fleet.call(1, deployment::request("/none/", "wait"));
    }
    fleet.worker(0).crash();
    REQUIRE(fleet.wait_for_log(0, "event=worker_crashed"));
}

// Guards against a worker that keeps running a request after its caller has
// disconnected, because the node does not cancel the request.
TEST_CASE("a request whose caller disconnects is canceled at the worker")
{
    running_deployment fleet({{"a", "shop", 6, core::milliseconds(5'000)},
                              {"a", "desk", 6, core::milliseconds(5)}},
                             {{"/look/", "idempotent", "shop", 8'000, 7'000}});
    auto const it = fleet.call(1, deployment::request("/look/", "g"),
                               core::milliseconds(200));
    REQUIRE(it.status == 0);
    for (int i = 0; i < 400 && fleet.worker(0).counts().canceled == 0; ++i)
    {
        fleet.call(1, deployment::request("/none/", "wait"));
    }
    REQUIRE(fleet.worker(0).counts().canceled == 1);
}

TEST_CASE("the admin endpoint reports whether all nodes have applied a version")
{
    running_deployment fleet;
    auto const it = send_request(fleet.admin_endpoint(0),
                                 deployment::request("/where", "w"),
                                 core::milliseconds(3'000));
    REQUIRE(it.status == 200);
    REQUIRE(it.body.find("\"complete\":true") != std::string::npos);
    auto const metrics = send_request(fleet.admin_endpoint(0),
                                      deployment::request("/metrics", "m"),
                                      core::milliseconds(3'000));
    REQUIRE(metrics.body.find("yuccafall_configuration_version 2") !=
            std::string::npos);
}

TEST_CASE("a node keeps serving after SIGHUP")
{
    running_deployment fleet;
    ::kill(fleet.node(0).pid(), SIGHUP);
    REQUIRE(fleet.call(0, deployment::request("/look/", "h")).status == 200);
}

// Guards against a node that restarts and, for want of a response yet, sends
// the worker beside it as many requests as it has slots, although the worker
// has stated a lower limit to the nodes that call it.
TEST_CASE("a restarted node keeps to the limit that its worker stated before")
{
    running_deployment fleet({{"a", "shop", 6, core::milliseconds(20)},
                              {"a", "desk", 6, core::milliseconds(20)}},
                             {{"/look/", "idempotent", "shop"}});
    fleet.worker(0).set_rate_limit("2.5");
    auto const first = fleet.call(1, deployment::request("/look/", "first"));
    REQUIRE(first.status == 200);
    auto const* stated = http::find_header(first.headers, "Server-Limit");
    REQUIRE(stated != nullptr);
    REQUIRE(*stated == "2.5");

    fleet.node(0).kill();
    fleet.node(0).wait_for(core::milliseconds(5'000));
    fleet.start_node(0);
    REQUIRE(fleet.wait_until_ready(0));
    std::vector<std::thread> callers;
    callers.reserve(12);
    for (int i = 0; i < 12; ++i)
    {
        callers.emplace_back([&fleet, i] {
            fleet.call(1, deployment::request("/look/", fmt::format("l{}", i)),
                       core::milliseconds(700));
        });
    }
    for (auto& it : callers)
    {
        it.join();
    }
    REQUIRE(fleet.wait_for_log(0, "source=offer"));
    // One call at once, and one more in the time that the callers wait.
    REQUIRE(fleet.worker(0).counts().runs.size() <= 1 + 3);
    fleet.worker(0).set_rate_limit("");
    REQUIRE(fleet.call(1, deployment::request("/look/", "last")).status == 200);
    REQUIRE(fleet.wait_for_log(0, "limited=false"));
}

// Guards against a worker that leaves and gets new calls, because its entry in
// the store has not changed yet and the node beside it has restarted since the
// worker stated it (rule DRAIN).
TEST_CASE("a worker that has stated that it leaves gets no new calls")
{
    running_deployment fleet({{"a", "shop", 6, core::milliseconds(5)},
                              {"b", "shop", 6, core::milliseconds(5)},
                              {"a", "desk", 6, core::milliseconds(5)}},
                             {{"/look/", "idempotent", "shop"}});
    auto const call_until = [&](std::string const& name, auto const& done) {
        for (int i = 0; i < 200 && !done(); ++i)
        {
            fleet.call(
                2, deployment::request("/look/", fmt::format("{}{}", name, i)));
        }
        return done();
    };
    fleet.worker(0).set_leaving(true);
    auto const stated = [&] {
        return fleet.log(0).find("event=worker_leaves") != std::string::npos;
    };
    REQUIRE(call_until("a", stated));
    auto const restart_node = [&] {
        fleet.node(0).kill();
        fleet.node(0).wait_for(core::milliseconds(5'000));
        fleet.start_node(0);
        REQUIRE(fleet.wait_until_ready(0));
    };
    auto const runs_before = fleet.worker(0).counts().runs.size();
    restart_node();
    call_until("b", [] { return false; });
    REQUIRE(fleet.worker(0).counts().runs.size() == runs_before);

    // The worker has started again under its id and knows nothing of before.
    fleet.worker(0).set_leaving(false);
    fleet.publish_restarted_worker(0);
    REQUIRE(call_until("c", [&] {
        return fleet.worker(0).counts().runs.size() > runs_before;
    }));
}

// Guards against nodes that end, or no longer follow the store, because another
// writer has left an odd entry among those of the workers.
TEST_CASE("nodes follow the store beside odd entries")
{
    running_deployment fleet;
    constexpr std::size_t depth = 20'000;
    fleet.store().put("servers/nested", std::string(depth, '['));
    fleet.store().put("servers/bytes", std::string("\0\xff\r\n", 4));
    fleet.store().put("servers/empty", "");
    fleet.store().put("servers/with \"quotes\"\r\n", "{}");
    fleet.store().put(
        "servers/port",
        R"({"service":"shop","address":"10.0.0.1:65536","zone":"a",)"
        R"("slots":6,"state":"ready","cold_left_ms":0})");
    fleet.store().put(
        "servers/number",
        R"({"service":"shop","address":"10.0.0.1:80","zone":"a","slots":1)" +
            std::string(300, '0') + R"(,"state":"ready","cold_left_ms":0})");
    auto const version = fleet.publish(default_routes());
    for (std::size_t i = 0; i < fleet.size(); ++i)
    {
        REQUIRE(fleet.wait_for_version(i, version));
        REQUIRE(
            fleet.call(i, deployment::request("/look/", fmt::format("o{}", i)))
                .status == 200);
    }
    // A node that starts reads the entries as pages.
    fleet.store().discard_history();
    fleet.node(2).kill();
    fleet.node(2).wait_for(core::milliseconds(5'000));
    fleet.start_node(2);
    REQUIRE(fleet.wait_until_ready(2));
}

// Guards against a worker that gets no calls although its entry is ready again:
// a refusal for a draining entry was taken for the worker's own statement that
// it leaves (soak --extended, seed 303 with six nodes).
TEST_CASE("a worker whose entry is ready again gets calls")
{
    route_options route{"/look/", "idempotent", "shop"};
    route.timeout_ms = 4'000;
    route.target_latency_ms = 4'000;
    running_deployment fleet({{"a", "shop", 1, core::milliseconds(500)},
                              {"a", "desk", 1, core::milliseconds(5)}},
                             {route});
    // One call runs and the others wait at node 0, which refuses them when the
    // entry changes.
    std::vector<std::thread> callers;
    callers.reserve(4);
    for (int i = 0; i < 4; ++i)
    {
        callers.emplace_back([&fleet, i] {
            fleet.call(1, deployment::request("/look/", fmt::format("d{}", i)),
                       core::milliseconds(4'000));
        });
    }
    REQUIRE(fleet.wait_until_running(0));
    fleet.publish_worker(0, "draining");
    for (auto& it : callers)
    {
        it.join();
    }
    REQUIRE(fleet.log(0).find("kind=leaving") != std::string::npos);
    fleet.publish_worker(0);
    REQUIRE(fleet.wait_for_log(1, "draining=false revision=6"));
    int status = 0;
    for (int i = 0; i < 100 && status != 200; ++i)
    {
        status =
            fleet.call(1, deployment::request("/look/", fmt::format("e{}", i)))
                .status;
    }
    REQUIRE(status == 200);
}

// Guards against a process that ends because it gets SIGHUP while it starts.
TEST_CASE("a node that starts ignores SIGHUP until it can handle it")
{
    std::string directory = "/tmp/yuccafall-XXXXXX";
    REQUIRE(mkdtemp(directory.data()) != nullptr);
    auto const settings_path = directory + "/settings";
    // The node waits at the settings until the test has opened them too.
    REQUIRE(mkfifo(settings_path.c_str(), 0600) == 0);
    child_process node({sibling_program_path("yuccafall"), "node",
                        "--settings=" + settings_path},
                       directory + "/log");
    bool protected_from_hangup = false;
    for (int i = 0; i < 1'000 && !protected_from_hangup; ++i)
    {
        protected_from_hangup = node.survives_reload();
        if (!protected_from_hangup)
        {
            REQUIRE_FALSE(node.wait_for(core::milliseconds(10)));
        }
    }
    REQUIRE(protected_from_hangup);
    node.reload();
    std::ofstream(settings_path) << "not: settings";
    REQUIRE(node.wait_for(core::milliseconds(10'000)) == 78);
    std::filesystem::remove_all(directory);
}

// Guards against requests that still reach the workers of an evacuated data
// centre, against callers there who are no longer served, and against an
// evacuation that a restart during an outage of the store ends.
TEST_CASE("the workers of an evacuated data centre get no requests")
{
    running_deployment fleet({{"a", "shop", 6, core::milliseconds(5)},
                              {"a", "shop", 6, core::milliseconds(5)},
                              {"b", "shop", 6, core::milliseconds(5)},
                              {"b", "shop", 6, core::milliseconds(5)},
                              {"b", "desk", 6, core::milliseconds(5)}},
                             {{"/look/", "idempotent", "shop"},
                              {"/book/", "non_idempotent", "desk"}});
    auto const arrivals_in_a = [&] {
        return fleet.worker(0).counts().arrivals +
               fleet.worker(1).counts().arrivals;
    };
    // Sends requests to all nodes and returns how many got a response.
    auto const serve = [&](std::string const& round) {
        int served = 0;
        for (int i = 0; i < 20; ++i)
        {
            auto const id = fmt::format("{}{}", round, i);
            served += fleet.call(static_cast<std::size_t>(i) % fleet.size(),
                                 deployment::request("/look/", id))
                                  .status == 200
                          ? 1
                          : 0;
        }
        return served;
    };
    auto const wait_for_all = [&](std::string const& text) {
        for (std::size_t i = 0; i < fleet.size(); ++i)
        {
            REQUIRE(fleet.wait_until_in_force(i, text));
        }
    };
    REQUIRE(serve("before") == 20);
    REQUIRE(arrivals_in_a() > 0);

    fleet.store().put("op/evacuate/a", "{}");
    wait_for_all("event=evacuation_changed data_centre=a evacuated=true");
    auto const arrivals = arrivals_in_a();
    REQUIRE(serve("evacuated") == 20);
    REQUIRE(arrivals_in_a() == arrivals);
    REQUIRE(fleet.wait_until_ready(0));
    // No node has offered a call to the nodes beside these workers.
    REQUIRE(fleet.has_metric(0, "yuccafall_worker_evacuated_total 0"));
    REQUIRE(fleet.has_metric(1, "yuccafall_worker_evacuated_total 0"));

    // All nodes restart, one after another, while the store is down.
    fleet.store().set_mode(store_mode::unavailable);
    for (std::size_t i = 0; i < fleet.size(); ++i)
    {
        fleet.node(i).kill();
        fleet.node(i).wait_for(core::milliseconds(5'000));
        fleet.start_node(i);
        REQUIRE(fleet.wait_until_ready(i));
    }
    REQUIRE(serve("restarted") == 20);
    REQUIRE(arrivals_in_a() == arrivals);

    // A service without a worker elsewhere is refused and may be sent again.
    fleet.store().set_mode(store_mode::available);
    fleet.store().put("op/evacuate/b", "{}");
    wait_for_all("event=evacuation_changed data_centre=b evacuated=true");
    auto const refused =
        fleet.call(4, deployment::request("/book/", "none", "POST"));
    REQUIRE(refused.status == 503);
    REQUIRE(*http::find_header(refused.headers, "Yuccafall-Error") ==
            "no_upstream");
    REQUIRE(http::find_header(refused.headers, "Retry-After"));
    REQUIRE(fleet.count_runs("none") == 0);

    // The keys are deleted during an outage, and the store discards its
    // history.
    fleet.store().set_mode(store_mode::unavailable);
    fleet.store().erase("op/evacuate/b");
    fleet.store().erase("op/evacuate/a");
    fleet.store().discard_history();
    fleet.store().set_mode(store_mode::available);
    wait_for_all("event=evacuation_changed data_centre=a evacuated=false");
    REQUIRE(serve("after") == 20);
    REQUIRE(arrivals_in_a() > arrivals);
}

// Guards against a call that began before an evacuation and is sent to the
// evacuated data centre afterwards, because it keeps its view of the workers.
TEST_CASE("a retry does not go to a data centre evacuated meanwhile")
{
    route_options route{"/look/", "idempotent", "shop"};
    route.timeout_ms = 60'000;
    running_deployment fleet({{"a", "shop", 6, core::milliseconds(60'000)},
                              {"b", "shop", 6, core::milliseconds(5)},
                              {"a", "desk", 6, core::milliseconds(5)}},
                             {route});
    int status = 0;
    std::thread caller([&] {
        status = fleet
                     .call(2, deployment::request("/look/", "moved"),
                           core::milliseconds(60'000))
                     .status;
    });
    auto const began = fleet.wait_until_running(0);
    fleet.store().put("op/evacuate/b", "{}");
    auto const seen = fleet.wait_until_in_force(2, "event=evacuation_changed");
    fleet.worker(0).crash();
    caller.join();
    REQUIRE(began);
    REQUIRE(seen);
    REQUIRE(status == 502);
    REQUIRE(fleet.worker(1).counts().arrivals == 0);
    REQUIRE(fleet.has_metric(1, "yuccafall_worker_offers_total 0"));
}
