// The worker beside a node ends, and its address goes to a worker of another
// service. The settings file of the node then names that service, and the node
// gets SIGHUP.
//
// Usage: service PROGRAM RECORD FOLDER TROUBLE
// With TROUBLE=0, the worker stays and the settings do not change.
#include "lab.hpp"

#include <csignal>
#include <cstdio>
#include <cstdlib>

using namespace lab;

namespace {

constexpr double reuse_delay = 2;
constexpr double stability_window = 3;
constexpr int timeout_ms = 2'500;
constexpr int requests = 40;

char const configuration[] = R"({"version":7,"services":[
{"name":"catalogue","health_path":"/health","max_connections":130},
{"name":"reports","health_path":"/health","max_connections":130},
{"name":"dispatch","health_path":"/health","max_connections":130}],
"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,
"header_timeout_ms":3000,"idle_timeout_ms":15000},
"virtual_hosts":[{"host":"h.example","paths":[
{"name":"r1","prefix":"/visit/","kind":"non_idempotent","timeout_ms":1500,
"target_latency_ms":500,"priority":1,"service":"dispatch","max_attempts":2}
]}]})";

} // namespace

int main(int argc, char** argv)
{
    if (argc != 5)
    {
        return 2;
    }
    std::string const program = argv[1];
    record log(argv[2]);
    std::string const folder = argv[3];
    bool const trouble = std::string(argv[4]) != "0";

    std::vector<machine> machines{{"m1", "127.77.0.1", "a", "catalogue"},
                                  {"m2", "127.77.0.2", "b", "dispatch"},
                                  {"m3", "127.77.0.3", "a", "reports"}};
    auto const where = choose_layout(machines);
    store platform(where.store_ip, where.store);
    std::vector<std::unique_ptr<worker>> workers;
    workers.reserve(machines.size());
    std::vector<std::unique_ptr<node>> nodes;
    auto const start_worker = [&](machine const& it, std::string const& id) {
        platform.put("servers/" + id,
                     worker_entry(it, where, 6, "ready", 1, 1'700'000'000'000));
        return std::make_unique<worker>(
            id, it.ip, where.worker, 6, [](message const&) { return 0.05; },
            log);
    };
    for (auto const& it : machines)
    {
        workers.push_back(start_worker(it, "i-" + it.name));
    }
    platform.put("op/config", configuration);
    for (auto const& it : machines)
    {
        nodes.push_back(
            std::make_unique<node>(it, where, program, folder, log));
        nodes.back()->start();
    }
    if (!wait_until_ready(nodes, log))
    {
        return 2;
    }

    int answered = 0;
    auto const send = [&](std::string const& prefix) {
        for (int i = 0; i < requests; ++i)
        {
            auto const id = prefix + std::to_string(i);
            log.add("sent id=" + id + " by=m1");
            auto const it =
                send_request(machines[0].ip, where.callers,
                             request_text("POST", "h.example", "/visit/1", id,
                                          timeout_ms, "visit"),
                             now() + timeout_ms / 1000.0);
            answered += it.content.status == 200 ? 1 : 0;
            log.add("answered id=" + id + " by=m1 " +
                    std::to_string(it.content.status));
            sleep_for(0.02);
        }
    };
    send("before-");
    if (trouble)
    {
        platform.remove("servers/i-m1");
        log.add("worker i-m1 has ended");
        workers[0].reset();
        sleep_for(reuse_delay + 0.5);
        machines[0].service = "reports";
        workers[0] = start_worker(machines[0], "i-m9");
        log.add("worker i-m9 of reports has the address of i-m1");
        nodes[0]->change_service("reports");
        nodes[0]->signal(SIGHUP);
    }
    sleep_for(stability_window + 2);
    send("after-");

    int wrong = 0;
    int right = 0;
    for (auto const& it : workers[1]->runs())
    {
        bool const is_after = it.id.compare(0, 6, "after-") == 0;
        auto const expected =
            is_after ? machines[0].service : std::string("catalogue");
        ++(it.caller_service == expected ? right : wrong);
    }
    std::printf("answered with 200: %d; runs with the service of the machine "
                "as Caller-Service: %d, with another one: %d\n",
                answered, right, wrong);
    std::fflush(stdout);
    nodes.clear();
    // Threads of connections may still wait for their peers.
    std::_Exit(wrong > 0 ? 1 : (right == 2 * requests ? 0 : 2));
}
