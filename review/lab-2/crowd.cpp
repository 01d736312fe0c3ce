// Many clients, whose connections have been used before, download at the same
// moment. They read as fast as the node sends.
//
// Usage: crowd PROGRAM RECORD FOLDER TROUBLE
// With TROUBLE=0, the usual number of them does.
#include "lab.hpp"

#include <array>
#include <cstdio>
#include <cstdlib>
#include <set>

using namespace lab;

namespace {

constexpr std::size_t short_response = 5'000;
constexpr std::size_t long_response = 2UL * 1024 * 1024;
constexpr double work_time = 0.1;
constexpr int timeout_ms = 4'000;
constexpr int usual_clients = 40;
// The largest factor of a burst in the site file is 1.7.
constexpr int burst_clients = 68;
// The rule allows this many.
constexpr int allowed = 3;

char const configuration[] = R"({"version":7,"services":[
{"name":"records","health_path":"/health","max_connections":130},
{"name":"portal","health_path":"/health","max_connections":130}],
"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,
"header_timeout_ms":3000,"idle_timeout_ms":15000},
"virtual_hosts":[{"host":"h.example","paths":[
{"name":"d1","prefix":"/statement/","kind":"idempotent","timeout_ms":4000,
"target_latency_ms":1000,"priority":1,"service":"records","max_attempts":2}
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
    int const clients = trouble ? burst_clients : usual_clients;

    std::vector<machine> machines{{"m1", "127.77.0.1", "a", "portal"}};
    for (int i = 2; i <= 5; ++i)
    {
        machines.push_back({"m" + std::to_string(i),
                            "127.77.0." + std::to_string(i),
                            i % 2 == 0 ? "a" : "b", "records"});
    }
    auto const where = choose_layout(machines);
    store platform(where.store_ip, where.store);
    std::vector<std::unique_ptr<worker>> workers;
    workers.reserve(machines.size());
    std::vector<std::unique_ptr<node>> nodes;
    for (auto const& it : machines)
    {
        workers.push_back(std::make_unique<worker>(
            "i-" + it.name, it.ip, where.worker, 6,
            [](message const&) { return work_time; }, log));
        platform.put("servers/i-" + it.name,
                     worker_entry(it, where, 6, "ready", 1, 1'700'000'000'000));
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

    std::vector<std::unique_ptr<connection>> connections(
        static_cast<std::size_t>(clients));
    std::mutex mutex;
    std::map<std::string, int> results;
    std::set<std::string> without_answer;
    auto const download = [&](std::size_t client, std::string const& id,
                              std::size_t size) {
        auto& it = *connections[client];
        auto const deadline = now() + timeout_ms / 1000.0 + 1;
        message content;
        log.add("sent id=" + id + " by=m1");
        it.write(request_text("GET", "h.example",
                              "/statement/" + std::to_string(size), id,
                              timeout_ms, ""),
                 deadline);
        auto const result = it.read(content, false, deadline);
        std::lock_guard const lock(mutex);
        std::string text;
        if (result == read_result::complete)
        {
            text = "answer " + std::to_string(content.status);
        }
        else if (result == read_result::timed_out)
        {
            text = "no answer in time";
        }
        else if (it.started())
        {
            text = "answer broken off";
        }
        else
        {
            text = "connection closed without an answer";
            without_answer.insert(id);
        }
        ++results[text];
        log.add("id=" + id + " by=m1 " + text);
    };
    for (std::size_t i = 0; i < connections.size(); ++i)
    {
        connections[i] = connection::open(machines[0].ip, where.callers, 1);
        if (!connections[i])
        {
            return 2;
        }
        download(i, "short-" + std::to_string(i), short_response);
    }
    results.clear();
    std::vector<std::thread> threads;
    threads.reserve(connections.size());
    for (std::size_t i = 0; i < connections.size(); ++i)
    {
        threads.emplace_back([&download, i] {
            download(i, "long-" + std::to_string(i), long_response);
        });
    }
    for (auto& it : threads)
    {
        it.join();
    }

    int passed_on = 0;
    for (auto const& it : workers)
    {
        for (auto const& r : it->runs())
        {
            passed_on += static_cast<int>(without_answer.erase(r.id));
        }
    }
    for (auto const& [text, count] : results)
    {
        std::printf("%s: %d\n", text.c_str(), count);
    }
    std::printf("closed without an answer after a worker had run the request: "
                "%d\n",
                passed_on);
    bool const runs = nodes[0]->running();
    std::printf("node m1 runs: %d\n", runs ? 1 : 0);
    std::fflush(stdout);
    nodes.clear();
    // Threads of connections may still wait for their peers.
    std::_Exit(passed_on > allowed ? 1 : 0);
}
