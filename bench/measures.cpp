// Runs the measures on deployments of node processes on this machine.
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

// Exit code of a measure that could not be completed.
constexpr int exit_not_measured = 2;

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

// Starts the nodes and waits until all are ready with the first configuration.
bool start_nodes(deployment& fleet)
{
    fleet.start_nodes();
    for (std::size_t i = 0; i < fleet.size(); ++i)
    {
        if (!fleet.wait_until_ready(i) || !fleet.wait_for_version(i, 2))
        {
            fmt::print("error=\"node {} did not become ready\"\n", i);
            return false;
        }
    }
    return true;
}

void sleep_for(core::milliseconds duration)
{
    boost::asio::io_context context;
    boost::asio::steady_timer timer(context, duration);
    timer.wait();
}

// Numbers of calls by their results and by what the workers received.
struct call_counts
{
    std::size_t answered = 0;
    // The status, 503 or 429, states that the call did not run.
    std::size_t refused = 0;
    // The call ended in another way, so that it may have run.
    std::size_t unknown = 0;
    // The call ran more than once.
    std::size_t run_twice = 0;
    // The call was refused, but a worker ran it.
    std::size_t not_run_but_ran = 0;
};

call_counts count_calls(deployment& fleet,
                        std::vector<call_record> const& calls)
{
    std::map<std::string, int> runs;
    for (std::size_t i = 0; i < fleet.size(); ++i)
    {
        for (auto const& [id, n] : fleet.worker(i).counts().runs)
        {
            runs[id] += n;
        }
    }
    call_counts counts;
    for (auto const& it : calls)
    {
        bool const refused = it.status == 503 || it.status == 429;
        counts.answered += it.status == 200 ? 1 : 0;
        counts.refused += refused ? 1 : 0;
        counts.unknown += it.status != 200 && !refused ? 1 : 0;
        counts.run_twice += runs[it.id] > 1 ? 1 : 0;
        counts.not_run_but_ran += refused && runs[it.id] > 0 ? 1 : 0;
    }
    return counts;
}

// Returns the exit code.
int print_counts(std::string_view name, call_counts const& it)
{
    fmt::print("measure={} answered={} refused={} unknown={} run_twice={} "
               "not_run_but_ran={}\n",
               name, it.answered, it.refused, it.unknown, it.run_twice,
               it.not_run_but_ran);
    return it.run_twice + it.not_run_but_ran == 0 ? 0 : 1;
}

} // namespace

// Measures how much longer calls through nodes take than calls that are sent to
// the workers directly.
int run_added_latency(measure_options const& options)
{
    deployment fleet(make_vms(options.nodes), make_routes());
    if (!start_nodes(fleet))
    {
        return exit_not_measured;
    }
    load_options load;
    load.seed = options.seed;
    load.target = "/lookup/1";
    // This load only warms up the deployment, so its results are not used.
    run_load(fleet, load);
    auto direct_load = load;
    direct_load.bypass_nodes = true;
    auto const direct_calls = run_load(fleet, direct_load);
    load.seed += 100;
    auto const via_nodes = run_load(fleet, load);
    auto const added_ms = [&](double level) {
        return duration_quantile_ms(via_nodes, level) -
               duration_quantile_ms(direct_calls, level);
    };
    fmt::print("measure=added_latency nodes={} calls={} p50_ms={:.3f} "
               "p99_ms={:.3f} straight_p50_ms={:.3f} straight_p99_ms={:.3f}\n",
               options.nodes, via_nodes.size(), added_ms(0.5), added_ms(0.99),
               duration_quantile_ms(direct_calls, 0.5),
               duration_quantile_ms(direct_calls, 0.99));
    return 0;
}

// Counts bookings that ran more than once, or that ran although they were
// refused. Meanwhile workers run requests without a response or reject them,
// and nodes are killed.
int run_at_most_once(measure_options const& options)
{
    deployment fleet(make_vms(options.nodes), make_routes());
    if (!start_nodes(fleet))
    {
        return exit_not_measured;
    }
    std::thread faults([&] {
        for (std::size_t i = 1; i < fleet.size(); i += 3)
        {
            fleet.worker(i).set_fault(worker_fault::drops_responses);
            sleep_for(core::milliseconds(150));
            fleet.worker(i).set_fault(worker_fault::rejects_requests);
            sleep_for(core::milliseconds(150));
            fleet.worker(i).set_fault(worker_fault::none);
            fleet.node(i).kill();
            fleet.node(i).wait_for(core::milliseconds(5'000));
            fleet.start_node(i);
        }
    });
    load_options load;
    load.seed = options.seed;
    load.target = "/booking/1";
    load.method = "POST";
    load.callers = 8;
    load.calls_per_caller = 400;
    auto const calls = run_load(fleet, load);
    faults.join();
    return print_counts("at_most_once", count_calls(fleet, calls));
}

// Measures the time from the store's acknowledgement of a change until the
// change is in force on all nodes.
int run_convergence(measure_options const& options)
{
    deployment fleet(make_vms(options.nodes), make_routes());
    if (!start_nodes(fleet))
    {
        return exit_not_measured;
    }
    constexpr int changes = 20;
    std::vector<double> times_ms;
    auto routes = make_routes();
    for (int n = 0; n < changes; ++n)
    {
        sleep_for(core::milliseconds(300));
        routes[0].timeout_ms = 2'000 + n;
        auto const version = fleet.publish(routes);
        auto const started = core::boot_clock::now();
        for (std::size_t i = 0; i < fleet.size(); ++i)
        {
            if (!fleet.wait_for_version(i, version))
            {
                fmt::print("error=\"version {} did not come into force on all "
                           "nodes\"\n",
                           version);
                return exit_not_measured;
            }
        }
        times_ms.push_back(std::chrono::duration<double, std::milli>(
                               core::boot_clock::now() - started)
                               .count());
    }
    std::sort(times_ms.begin(), times_ms.end());
    fmt::print("measure=convergence nodes={} changes={} p50_ms={:.0f} "
               "worst_ms={:.0f}\n",
               options.nodes, changes, times_ms[times_ms.size() / 2],
               times_ms.back());
    return 0;
}

// Counts the calls to the store while the configuration does not change, and
// while it changes about five times a second.
int run_store_calls(measure_options const& options)
{
    deployment fleet(make_vms(options.nodes), make_routes());
    if (!start_nodes(fleet))
    {
        return exit_not_measured;
    }
    constexpr int seconds = 5;
    sleep_for(core::milliseconds(2'000));
    auto const calls_before = fleet.store().request_count();
    sleep_for(core::milliseconds(seconds * 1'000));
    auto const at_rest = fleet.store().request_count() - calls_before;
    for (int n = 0; n < seconds * 5; ++n)
    {
        fleet.publish(make_routes());
        sleep_for(core::milliseconds(200));
    }
    auto const in_changes =
        fleet.store().request_count() - calls_before - at_rest;
    fmt::print("measure=store_calls nodes={} data_centres=3 "
               "at_rest_per_s={:.1f} in_storm_per_s={:.1f}\n",
               options.nodes, static_cast<double>(at_rest) / seconds,
               static_cast<double>(in_changes) / seconds);
    return 0;
}

namespace {

// Returns the value of a metric without labels, or 0 if the node does not
// export it.
double read_metric(deployment& fleet, std::size_t vm, std::string const& name)
{
    auto const response = stand_ins::send_request(
        fleet.admin_endpoint(vm), deployment::request("/metrics", "metrics"),
        core::milliseconds(5'000));
    auto const position = response.body.find("\n" + name + " ");
    return position == std::string::npos
               ? 0
               : std::strtod(response.body.c_str() + position + name.size() + 2,
                             nullptr);
}

struct resource_usage
{
    double cpu_s = 0;
    double resident_mb = 0;
};

// Returns the mean usage of all nodes.
resource_usage mean_usage(deployment& fleet)
{
    resource_usage out;
    auto const n = static_cast<double>(fleet.size());
    for (std::size_t i = 0; i < fleet.size(); ++i)
    {
        out.cpu_s += read_metric(fleet, i, "process_cpu_seconds_total") / n;
        out.resident_mb +=
            read_metric(fleet, i, "process_resident_memory_bytes") / n / 1e6;
    }
    return out;
}

} // namespace

// Measures the memory of a node and its processor time, at rest and for each
// change of the configuration. The phase with changes is as long as the phase
// at rest before it, so that the difference in processor time is the cost of
// the changes.
int run_footprint(measure_options const& options)
{
    deployment fleet(make_vms(options.nodes), make_routes());
    if (!start_nodes(fleet))
    {
        return exit_not_measured;
    }
    constexpr int seconds = 10;
    constexpr int changes = 10;
    sleep_for(core::milliseconds(2'000));
    auto const before = mean_usage(fleet);
    sleep_for(core::milliseconds(seconds * 1'000));
    auto const after_rest = mean_usage(fleet);
    for (int n = 0; n < changes; ++n)
    {
        fleet.publish(make_routes());
        sleep_for(core::milliseconds(1'000));
    }
    auto const after_changes = mean_usage(fleet);
    auto const cpu_at_rest = after_rest.cpu_s - before.cpu_s;
    auto const cpu_in_changes = after_changes.cpu_s - after_rest.cpu_s;
    fmt::print("measure=footprint nodes={} core_at_rest_percent={:.3f} "
               "change_ms={:.2f} resident_mb={:.1f}\n",
               options.nodes, cpu_at_rest / seconds * 100,
               (cpu_in_changes - cpu_at_rest) / changes * 1e3,
               after_changes.resident_mb);
    return 0;
}

// Sends requests for all routes while another route is added and a node is
// stopped.
int run_demo(measure_options const& options)
{
    deployment fleet(make_vms(options.nodes), make_routes());
    if (!start_nodes(fleet))
    {
        return exit_not_measured;
    }
    fmt::print("demo=started nodes={} operators={}\n", fleet.size(),
               core::to_string(fleet.admin_endpoint(0)));
    std::vector<call_record> calls;
    std::thread callers([&] {
        for (auto const* target : {"/lookup/1", "/booking/1", "/report/1"})
        {
            load_options load;
            load.seed = options.seed + calls.size();
            load.target = target;
            load.method = target[1] == 'l' ? "GET" : "POST";
            auto const results = run_load(fleet, load);
            calls.insert(calls.end(), results.begin(), results.end());
        }
    });
    auto routes = make_routes();
    routes.push_back({"/new/", "idempotent", "catalogue"});
    auto const version = fleet.publish(routes);
    for (std::size_t i = 0; i < fleet.size(); ++i)
    {
        fleet.wait_for_version(i, version);
    }
    auto const response = stand_ins::send_request(
        fleet.admin_endpoint(0), deployment::request("/where", "where"),
        core::milliseconds(5'000));
    fmt::print("demo=in_force version={} where={}\n", version, response.body);
    auto const stopped = fleet.size() - 1;
    fleet.node(stopped).terminate();
    auto const status = fleet.node(stopped).wait_for(core::milliseconds(8'000));
    fmt::print("demo=stopped vm={} exit_status={}\n", stopped,
               status.value_or(-1));
    callers.join();
    return print_counts("demo", count_calls(fleet, calls));
}

std::vector<measure> const& all_measures()
{
    static std::vector<measure> const all{
        {"demo", "calls while a route is added and a node stops", run_demo},
        {"added_latency", "latency that nodes add to calls", run_added_latency},
        {"at_most_once",
         "runs of bookings while responses are lost and nodes are killed",
         run_at_most_once},
        {"convergence", "time until a change is in force on all nodes",
         run_convergence},
        {"footprint", "processor time and memory of a node", run_footprint},
        {"store_calls",
         "calls to the store at rest and during frequent changes",
         run_store_calls},
    };
    return all;
}

} // namespace yuccafall::bench
