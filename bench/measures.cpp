// Measures on deployments of node processes on this machine.
#include "bench/measures.hpp"

#include <algorithm>
#include <thread>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <fmt/format.h>

#include "bench/load.hpp"

namespace yuccafall::bench {

using stand_ins::deployment;
using stand_ins::vm_options;
using stand_ins::worker_fault;

namespace {

constexpr int not_made = 2;

std::vector<vm_options> make_vms(std::size_t n)
{
    std::vector<vm_options> out;
    char const* const services[] = {"catalogue", "dispatch", "reports"};
    for (std::size_t i = 0; i < n; ++i)
    {
        out.push_back({fmt::format("lj-{}", i % 3), services[i % 3], 6,
                       core::milliseconds(5)});
    }
    return out;
}

std::vector<stand_ins::route_options> make_routes()
{
    return {{"/lookup/", "idempotent", "catalogue", 2'000, 400, 2},
            {"/booking/", "non_idempotent", "dispatch", 2'000, 500, 1},
            {"/report/", "upload", "reports", 2'000, 500, 1}};
}

bool start(deployment& it)
{
    it.start_nodes();
    for (std::size_t i = 0; i < it.size(); ++i)
    {
        if (!it.wait_until_ready(i) || !it.wait_for_version(i, 2))
        {
            fmt::print("error=\"node {} did not get ready\"\n", i);
            return false;
        }
    }
    return true;
}

void pause(core::milliseconds time)
{
    boost::asio::io_context context;
    boost::asio::steady_timer timer(context, time);
    timer.wait();
}

struct promises
{
    std::size_t answered = 0;
    std::size_t refused = 0;
    std::size_t unknown = 0;
    std::size_t run_twice = 0;
    std::size_t not_run_but_ran = 0;
};

promises check(deployment& fleet, std::vector<call_record> const& calls)
{
    std::map<std::string, int> runs;
    for (std::size_t i = 0; i < fleet.size(); ++i)
    {
        for (auto const& [id, n] : fleet.worker(i).counts().runs)
        {
            runs[id] += n;
        }
    }
    promises out;
    for (auto const& it : calls)
    {
        bool const promised = it.status == 503 || it.status == 429;
        out.answered += it.status == 200 ? 1 : 0;
        out.refused += promised ? 1 : 0;
        out.unknown += it.status != 200 && !promised ? 1 : 0;
        out.run_twice += runs[it.id] > 1 ? 1 : 0;
        out.not_run_but_ran += promised && runs[it.id] > 0 ? 1 : 0;
    }
    return out;
}

int print(std::string_view name, promises const& it)
{
    fmt::print("measure={} answered={} refused={} unknown={} run_twice={} "
               "not_run_but_ran={}\n",
               name, it.answered, it.refused, it.unknown, it.run_twice,
               it.not_run_but_ran);
    return it.run_twice + it.not_run_but_ran == 0 ? 0 : 1;
}

} // namespace

// Calls through nodes beside calls straight to the workers.
int run_added_latency(measure_options const& options)
{
    deployment fleet(make_vms(options.nodes), make_routes());
    if (!start(fleet))
    {
        return not_made;
    }
    load_terms terms;
    terms.seed = options.seed;
    terms.target = "/lookup/1";
    run_load(fleet, terms);
    auto straight_terms = terms;
    straight_terms.to_workers = true;
    auto const straight = run_load(fleet, straight_terms);
    terms.seed += 100;
    auto const through = run_load(fleet, terms);
    auto const added = [&](double share) {
        return quantile_ms(through, share) - quantile_ms(straight, share);
    };
    fmt::print("measure=added_latency nodes={} calls={} p50_ms={:.3f} "
               "p99_ms={:.3f} straight_p50_ms={:.3f} straight_p99_ms={:.3f}\n",
               options.nodes, through.size(), added(0.5), added(0.99),
               quantile_ms(straight, 0.5), quantile_ms(straight, 0.99));
    return 0;
}

// Bookings while workers lose answers and crash, and nodes are killed.
int run_at_most_once(measure_options const& options)
{
    deployment fleet(make_vms(options.nodes), make_routes());
    if (!start(fleet))
    {
        return not_made;
    }
    std::thread trouble([&] {
        for (std::size_t i = 1; i < fleet.size(); i += 3)
        {
            fleet.worker(i).set_fault(worker_fault::drops_responses);
            pause(core::milliseconds(150));
            fleet.worker(i).set_fault(worker_fault::rejects_requests);
            pause(core::milliseconds(150));
            fleet.worker(i).set_fault(worker_fault::none);
            fleet.node(i).kill();
            fleet.node(i).wait_for(core::milliseconds(5'000));
            fleet.start_node(i);
        }
    });
    load_terms terms;
    terms.seed = options.seed;
    terms.target = "/booking/1";
    terms.method = "POST";
    terms.callers = 8;
    terms.calls_per_caller = 400;
    auto const calls = run_load(fleet, terms);
    trouble.join();
    return print("at_most_once", check(fleet, calls));
}

// From the store's acknowledgement until a change is in force on all nodes.
int run_convergence(measure_options const& options)
{
    deployment fleet(make_vms(options.nodes), make_routes());
    if (!start(fleet))
    {
        return not_made;
    }
    constexpr int changes = 20;
    std::vector<double> times;
    auto routes = make_routes();
    for (int n = 0; n < changes; ++n)
    {
        pause(core::milliseconds(300));
        routes[0].timeout_ms = 2'000 + n;
        auto const version = fleet.publish(routes);
        auto const started = core::boot_clock::now();
        for (std::size_t i = 0; i < fleet.size(); ++i)
        {
            if (!fleet.wait_for_version(i, version))
            {
                fmt::print("error=\"version {} not in force\"\n", version);
                return not_made;
            }
        }
        times.push_back(std::chrono::duration<double, std::milli>(
                            core::boot_clock::now() - started)
                            .count());
    }
    std::sort(times.begin(), times.end());
    fmt::print("measure=convergence nodes={} changes={} p50_ms={:.0f} "
               "worst_ms={:.0f}\n",
               options.nodes, changes, times[times.size() / 2], times.back());
    return 0;
}

// Calls to the store at rest and while the configuration changes.
int run_store_calls(measure_options const& options)
{
    deployment fleet(make_vms(options.nodes), make_routes());
    if (!start(fleet))
    {
        return not_made;
    }
    constexpr int seconds = 5;
    pause(core::milliseconds(2'000));
    auto const before = fleet.store().request_count();
    pause(core::milliseconds(seconds * 1'000));
    auto const at_rest = fleet.store().request_count() - before;
    for (int n = 0; n < seconds * 5; ++n)
    {
        fleet.publish(make_routes());
        pause(core::milliseconds(200));
    }
    auto const in_storm = fleet.store().request_count() - before - at_rest;
    fmt::print("measure=store_calls nodes={} data_centres=3 "
               "at_rest_per_s={:.1f} in_storm_per_s={:.1f}\n",
               options.nodes, static_cast<double>(at_rest) / seconds,
               static_cast<double>(in_storm) / seconds);
    return 0;
}

namespace {

// The value of a metric without labels; zero where the node does not tell it.
double metric(deployment& fleet, std::size_t vm, std::string const& name)
{
    auto const it = stand_ins::send_request(
        fleet.admin_endpoint(vm), deployment::request("/metrics", "metrics"),
        core::milliseconds(5'000));
    auto const at = it.body.find("\n" + name + " ");
    return at == std::string::npos
               ? 0
               : std::strtod(it.body.c_str() + at + name.size() + 2, nullptr);
}

struct usage
{
    double processor_s = 0;
    double resident_mb = 0;
};

usage mean_usage(deployment& fleet)
{
    usage out;
    auto const n = static_cast<double>(fleet.size());
    for (std::size_t i = 0; i < fleet.size(); ++i)
    {
        out.processor_s += metric(fleet, i, "process_cpu_seconds_total") / n;
        out.resident_mb +=
            metric(fleet, i, "process_resident_memory_bytes") / n / 1e6;
    }
    return out;
}

} // namespace

// Processor time and memory of a node at rest and for a change.
int run_footprint(measure_options const& options)
{
    deployment fleet(make_vms(options.nodes), make_routes());
    if (!start(fleet))
    {
        return not_made;
    }
    constexpr int seconds = 10;
    constexpr int changes = 10;
    pause(core::milliseconds(2'000));
    auto const before = mean_usage(fleet);
    pause(core::milliseconds(seconds * 1'000));
    auto const rested = mean_usage(fleet);
    for (int n = 0; n < changes; ++n)
    {
        fleet.publish(make_routes());
        pause(core::milliseconds(1'000));
    }
    auto const changed = mean_usage(fleet);
    auto const at_rest = rested.processor_s - before.processor_s;
    auto const in_changes = changed.processor_s - rested.processor_s;
    fmt::print("measure=footprint nodes={} core_at_rest_percent={:.3f} "
               "change_ms={:.2f} resident_mb={:.1f}\n",
               options.nodes, at_rest / seconds * 100,
               (in_changes - at_rest) / changes * 1e3, changed.resident_mb);
    return 0;
}

// Calls of all kinds while a route changes and a node is stopped.
int run_demo(measure_options const& options)
{
    deployment fleet(make_vms(options.nodes), make_routes());
    if (!start(fleet))
    {
        return not_made;
    }
    fmt::print("demo=started nodes={} operators={}\n", fleet.size(),
               core::to_string(fleet.admin_endpoint(0)));
    std::vector<call_record> calls;
    std::thread load([&] {
        for (auto const* target : {"/lookup/1", "/booking/1", "/report/1"})
        {
            load_terms terms;
            terms.seed = options.seed + calls.size();
            terms.target = target;
            terms.method = target[1] == 'l' ? "GET" : "POST";
            auto const part = run_load(fleet, terms);
            calls.insert(calls.end(), part.begin(), part.end());
        }
    });
    auto routes = make_routes();
    routes.push_back({"/new/", "idempotent", "catalogue"});
    auto const version = fleet.publish(routes);
    for (std::size_t i = 0; i < fleet.size(); ++i)
    {
        fleet.wait_for_version(i, version);
    }
    auto const where = stand_ins::send_request(
        fleet.admin_endpoint(0), deployment::request("/where", "where"),
        core::milliseconds(5'000));
    fmt::print("demo=in_force version={} where={}\n", version, where.body);
    auto const stopped = fleet.size() - 1;
    fleet.node(stopped).terminate();
    auto const status = fleet.node(stopped).wait_for(core::milliseconds(8'000));
    fmt::print("demo=stopped vm={} exit_status={}\n", stopped,
               status.value_or(-1));
    load.join();
    return print("demo", check(fleet, calls));
}

std::vector<measure> const& all_measures()
{
    static std::vector<measure> const table{
        {"demo", "calls while a route changes and a node stops", run_demo},
        {"added_latency", "what the way through the nodes adds",
         run_added_latency},
        {"at_most_once", "bookings under lost answers and killed nodes",
         run_at_most_once},
        {"convergence", "time until a change is in force on all nodes",
         run_convergence},
        {"footprint", "processor time and memory of a node", run_footprint},
        {"store_calls", "calls to the store at rest and in a storm of changes",
         run_store_calls},
    };
    return table;
}

} // namespace yuccafall::bench
