// Clients keep their connections open after a download, as the pages allow. The
// platform ends a node whose memory exceeds its limit, and starts it again.
//
// Usage: kept PROGRAM RECORD FOLDER TROUBLE
// With TROUBLE=0, each client closes its connection after the download.
#include "lab.hpp"

#include <array>
#include <cstdio>
#include <cstdlib>

using namespace lab;

namespace {

constexpr int memory_limit_mb = 260;
constexpr std::uint64_t mebibyte = 1024UL * 1024;
constexpr std::size_t response_size = 2 * mebibyte;
constexpr double work_time = 0.06;
constexpr int timeout_ms = 3'000;
constexpr int clients_per_machine = 150;
// How many clients of a machine download at the same time.
constexpr int downloads_at_once = 3;
constexpr int rounds = 4;
// No request is sent after this time.
constexpr double time_limit = 95;

char const configuration[] = R"({"version":7,"services":[
{"name":"records","health_path":"/health","max_connections":130},
{"name":"portal","health_path":"/health","max_connections":130}],
"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,
"header_timeout_ms":3000,"idle_timeout_ms":15000},
"virtual_hosts":[{"host":"h.example","paths":[
{"name":"d1","prefix":"/statement/","kind":"idempotent","timeout_ms":3000,
"target_latency_ms":500,"priority":1,"service":"records","max_attempts":2}
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

    std::vector<machine> const machines{{"m1", "127.77.0.1", "a", "portal"},
                                        {"m2", "127.77.0.2", "b", "portal"},
                                        {"m3", "127.77.0.3", "a", "records"},
                                        {"m4", "127.77.0.4", "b", "records"}};
    auto where = choose_layout(machines);
    where.memory_mb = memory_limit_mb;
    store platform(where.store_ip, where.store);
    std::vector<std::unique_ptr<worker>> workers;
    workers.reserve(machines.size());
    std::vector<std::unique_ptr<node>> nodes;
    std::vector<std::unique_ptr<supervisor>> supervisors;
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
        supervisors.push_back(std::make_unique<supervisor>(
            *nodes.back(), memory_limit_mb * mebibyte, log));
    }
    if (!wait_until_ready(nodes, log))
    {
        return 2;
    }

    std::atomic<int> answered{0};
    std::atomic<int> others{0};
    auto const download = [&](machine const& at, std::string const& id,
                              std::unique_ptr<connection>& kept) {
        log.add("sent id=" + id + " by=" + at.name);
        auto const deadline = now() + timeout_ms / 1000.0 + 0.5;
        auto it = connection::open(at.ip, where.callers, 1);
        message content;
        bool const success =
            it &&
            it->write(
                request_text("GET", "h.example",
                             "/statement/" + std::to_string(response_size), id,
                             timeout_ms, ""),
                deadline) &&
            it->read(content, false, deadline) == read_result::complete &&
            content.status == 200;
        ++(success ? answered : others);
        log.add("answered id=" + id + " by=" + at.name + " " +
                std::to_string(content.status) +
                " bytes=" + std::to_string(content.body.size()));
        if (trouble)
        {
            kept = std::move(it);
        }
    };
    for (int round = 1; round <= rounds && now() < time_limit; ++round)
    {
        std::vector<std::unique_ptr<connection>> kept(2UL *
                                                      clients_per_machine);
        std::vector<std::thread> threads;
        std::array<std::atomic<int>, 2> next{};
        for (std::size_t m = 0; m < 2; ++m)
        {
            for (int k = 0; k < downloads_at_once; ++k)
            {
                threads.emplace_back([&, m, round] {
                    for (int i = next[m]++;
                         i < clients_per_machine && now() < time_limit;
                         i = next[m]++)
                    {
                        download(machines[m],
                                 "d" + std::to_string(round) + "-" +
                                     machines[m].name + "-" + std::to_string(i),
                                 kept[m * clients_per_machine +
                                      static_cast<std::size_t>(i)]);
                    }
                });
            }
        }
        for (auto& it : threads)
        {
            it.join();
        }
        // The connections are idle for less than four fifths of 15 s.
        sleep_for(2);
        log.add("round " + std::to_string(round) + " has ended");
        kept.clear();
        sleep_for(4);
    }

    int machines_ended_thrice = 0;
    for (std::size_t i = 0; i < nodes.size(); ++i)
    {
        auto const line = supervisors[i]->summary();
        machines_ended_thrice += supervisors[i]->ends() >= 3 ? 1 : 0;
        log.add(line);
        std::printf("%s\n", line.c_str());
    }
    std::printf("downloads answered with success: %d, others: %d; machines on "
                "which a process ended three times: %d\n",
                answered.load(), others.load(), machines_ended_thrice);
    std::fflush(stdout);
    supervisors.clear();
    nodes.clear();
    // Threads of connections may still wait for their peers.
    std::_Exit(machines_ended_thrice >= 2 ? 1 : 0);
}
