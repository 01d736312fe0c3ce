// Clients of several machines upload bodies to a worker at about the same time.
// The platform ends a node whose memory exceeds its limit, and starts it again.
//
// Usage: uploads PROGRAM RECORD FOLDER TROUBLE
// With TROUBLE=0, the clients send the same uploads one after the other.
#include "lab.hpp"

#include <cstdio>
#include <cstdlib>

using namespace lab;

namespace {

constexpr int memory_limit_mb = 260;
constexpr std::uint64_t mebibyte = 1024UL * 1024;
// Below the max_body_bytes of the configuration, which is 64 MiB.
constexpr std::uint64_t body_size = 50 * mebibyte;
constexpr double work_time = 0.6;
constexpr int timeout_ms = 3'000;
constexpr int bursts = 13;
constexpr double time_limit = 95;
// With TROUBLE=0, no upload begins after this time.
constexpr double time_limit_in_calm = 75;

char const configuration[] = R"({"version":7,"services":[
{"name":"reports","health_path":"/health","max_connections":130},
{"name":"archive","health_path":"/health","max_connections":130},
{"name":"catalogue","health_path":"/health","max_connections":130}],
"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,
"header_timeout_ms":3000,"idle_timeout_ms":15000},
"virtual_hosts":[{"host":"h.example","paths":[
{"name":"r1","prefix":"/reports/","kind":"upload","timeout_ms":3000,
"target_latency_ms":500,"priority":1,"service":"reports","max_attempts":2},
{"name":"r2","prefix":"/archive/","kind":"upload","timeout_ms":3000,
"target_latency_ms":500,"priority":1,"service":"archive","max_attempts":2}
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

    std::vector<machine> machines{{"m1", "127.77.0.1", "a", "reports"},
                                  {"m2", "127.77.0.2", "b", "archive"}};
    for (int i = 3; i <= 8; ++i)
    {
        machines.push_back({"m" + std::to_string(i),
                            "127.77.0." + std::to_string(i),
                            i % 2 == 0 ? "a" : "b", "catalogue"});
    }
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

    std::string const body(body_size, 'x');
    auto const upload = [&](std::size_t from, int number) {
        // The clients of the first two machines, which have a worker for
        // uploads, use the service of the other one.
        bool const to_archive = from == 0 || (from > 1 && from % 2 == 1);
        auto const id =
            "u" + std::to_string(number) + "-" + machines[from].name;
        log.add("sent id=" + id + " by=" + machines[from].name +
                " body=" + std::to_string(body.size()));
        auto const it =
            send_request(machines[from].ip, where.callers,
                         request_text("POST", "h.example",
                                      to_archive ? "/archive/1" : "/reports/1",
                                      id, timeout_ms, body),
                         now() + timeout_ms / 1000.0 + 1);
        log.add("answered id=" + id + " " +
                (it.result == read_result::complete
                     ? std::to_string(it.content.status)
                     : std::string("no answer")));
    };
    auto const ended_thrice = [&] {
        int out = 0;
        for (auto const& it : supervisors)
        {
            out += it->ends() >= 3 ? 1 : 0;
        }
        return out;
    };
    for (int number = 1; number <= bursts &&
                         now() < (trouble ? time_limit : time_limit_in_calm) &&
                         ended_thrice() < 2;
         ++number)
    {
        std::vector<std::thread> clients;
        for (std::size_t i = 0; i < machines.size(); ++i)
        {
            if (!trouble)
            {
                if (now() < time_limit_in_calm)
                {
                    upload(i, number);
                }
                continue;
            }
            clients.emplace_back(upload, i, number);
        }
        for (auto& it : clients)
        {
            it.join();
        }
        sleep_for(4);
    }

    int total = 0;
    for (std::size_t i = 0; i < nodes.size(); ++i)
    {
        total += supervisors[i]->ends();
        auto const line = supervisors[i]->summary();
        log.add(line);
        std::printf("%s\n", line.c_str());
    }
    bool const broken = ended_thrice() >= 2;
    std::printf("processes ended for their memory: %d; machines on which one "
                "ended three times: %d\n",
                total, ended_thrice());
    std::fflush(stdout);
    supervisors.clear();
    nodes.clear();
    // Threads of connections may still wait for their peers.
    std::_Exit(broken ? 1 : 0);
}
