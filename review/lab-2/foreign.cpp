// Another writer puts entries of unreadable bytes into the store. The platform
// ends a node whose memory exceeds its limit, and starts it again.
//
// Usage: foreign PROGRAM RECORD FOLDER TROUBLE
// With TROUBLE=0, there is no other writer.
#include "lab.hpp"

#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <random>

using namespace lab;

namespace {

constexpr std::uint64_t mebibyte = 1024UL * 1024;
constexpr int memory_limit_mb = 260;
// The value_bytes of the settings, the most that an item holds.
constexpr std::size_t entry_size = 1'048'576;
constexpr int entries = 140;
// Time between two entries.
constexpr double spacing = 0.1;
constexpr int timeout_ms = 2'500;

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

    std::vector<machine> const machines{{"m1", "127.77.0.1", "a", "catalogue"},
                                        {"m2", "127.77.0.2", "b", "dispatch"},
                                        {"m3", "127.77.0.3", "a", "reports"}};
    auto where = choose_layout(machines);
    where.memory_mb = memory_limit_mb;
    store platform(where.store_ip, where.store);
    std::vector<std::unique_ptr<worker>> workers;
    workers.reserve(machines.size());
    std::vector<std::unique_ptr<node>> nodes;
    std::vector<std::unique_ptr<supervisor>> supervisors;
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
        supervisors.push_back(std::make_unique<supervisor>(
            *nodes.back(), memory_limit_mb * mebibyte, log));
    }
    if (!wait_until_ready(nodes, log))
    {
        return 2;
    }

    auto const ended_thrice = [&] {
        int out = 0;
        for (auto const& it : supervisors)
        {
            out += it->ends() >= 3 ? 1 : 0;
        }
        return out;
    };
    auto const send = [&](std::string const& id) {
        log.add("sent id=" + id + " by=m1");
        auto const it =
            send_request(machines[0].ip, where.callers,
                         request_text("POST", "h.example", "/visit/1", id,
                                      timeout_ms, "visit"),
                         now() + timeout_ms / 1000.0);
        log.add("answered id=" + id + " by=m1 " +
                std::to_string(it.content.status));
    };
    std::mt19937_64 random(1);
    for (int i = 0; i < entries && now() < 75 && ended_thrice() < 2; ++i)
    {
        if (trouble)
        {
            std::string value(entry_size, '\0');
            for (std::size_t at = 0; at < value.size(); at += 8)
            {
                auto const bytes = random();
                std::memcpy(&value[at], &bytes, 8);
            }
            auto const key = "servers/x-" + std::to_string(i);
            platform.put(key, value);
            log.add("another writer has written " + key);
        }
        send("visit-" + std::to_string(i));
        sleep_for(spacing);
    }
    auto const end = now() + 30;
    for (int i = 0; trouble && now() < end && ended_thrice() < 2; ++i)
    {
        send("later-" + std::to_string(i));
        sleep_for(1);
    }

    for (auto const& it : supervisors)
    {
        log.add(it->summary());
        std::printf("%s\n", it->summary().c_str());
    }
    auto const thrice = ended_thrice();
    std::printf("machines on which a process ended three times: %d\n", thrice);
    std::fflush(stdout);
    supervisors.clear();
    nodes.clear();
    // Threads of connections may still wait for their peers.
    std::_Exit(thrice >= 2 ? 1 : 0);
}
