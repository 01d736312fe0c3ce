// Faults, callers and checks of the soak.
#include "bench/soak/soak.hpp"

#include <atomic>
#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>
#include <thread>
#include <variant>

#include <fmt/format.h>

#include "core/overloaded.hpp"
#include "core/random.hpp"
#include "stand_ins/deployment.hpp"

namespace yuccafall::bench::soak {

namespace {

using core::milliseconds;
using stand_ins::deployment;

constexpr milliseconds patience{2'500};
constexpr std::size_t caller_count = 5;
// Between two faults; their effects last longer, so that they overlap.
constexpr milliseconds shortest_pause{80};
constexpr std::uint64_t pause_range_ms = 320;
constexpr milliseconds shortest_fault{150};
constexpr std::uint64_t fault_range_ms = 1'200;
// After the last fault all nodes have to serve again within this.
constexpr int recovery_tries = 60;

// Faults. Each begins, and ends some time later.
struct node_killed
{
    std::size_t vm;
};
struct node_stopped
{
    std::size_t vm;
};
struct node_paused
{
    std::size_t vm;
};
struct store_faulty
{
    stand_ins::store_mode mode;
};
struct history_dropped
{};
struct configuration_changed
{};
struct worker_faulty
{
    std::size_t vm;
    stand_ins::worker_fault how;
};
struct worker_crashed
{
    std::size_t vm;
};
struct worker_draining
{
    std::size_t vm;
};
using fault = std::variant<node_killed, node_stopped, node_paused, store_faulty,
                           history_dropped, configuration_changed,
                           worker_faulty, worker_crashed, worker_draining>;

std::vector<stand_ins::route_options> routes(std::uint64_t version)
{
    std::vector<stand_ins::route_options> out{
        {"/look/", "idempotent", "shop"}, {"/book/", "non_idempotent", "desk"}};
    if (version % 2 == 1)
    {
        out.push_back({"/extra/", "idempotent", "desk"});
    }
    return out;
}

std::vector<stand_ins::vm_options> vms(std::size_t n)
{
    std::vector<stand_ins::vm_options> out;
    for (std::size_t i = 0; i < n; ++i)
    {
        out.push_back({i % 2 == 0 ? "a" : "b", i % 3 == 0 ? "shop" : "desk", 4,
                       milliseconds(20)});
    }
    return out;
}

struct asked
{
    std::string id;
    bool is_booking = false;
    stand_ins::call_result got;
};

class soak
{
public:
    explicit soak(soak_options const& options)
        : options_(options), random_(options.seed),
          deployment_(vms(options.nodes), routes(0)), busy_(options.nodes)
    {}

    soak_result run()
    {
        deployment_.start_nodes();
        for (std::size_t i = 0; i < deployment_.size(); ++i)
        {
            if (!deployment_.wait_until_ready(i))
            {
                break_promise(fmt::format("node {} never became ready", i));
            }
        }
        start_callers();
        inject_faults();
        end_faults(core::instant::max());
        check_recovery();
        stop_callers();
        check_calls();
        return std::move(result_);
    }

private:
    void start_callers()
    {
        for (std::size_t c = 0; c < caller_count; ++c)
        {
            callers_.emplace_back([this, c] { call_on(c); });
        }
    }

    void call_on(std::size_t caller)
    {
        core::random_source random(options_.seed * 1'000 + caller);
        std::vector<asked> made;
        for (std::size_t i = 0; !stopping_; ++i)
        {
            asked it;
            it.id = fmt::format("{}-{}-{}", options_.seed, caller, i);
            it.is_booking = random.below(2) == 0;
            it.got = deployment_.call(
                random.below(deployment_.size()),
                deployment::request(it.is_booking ? "/book/" : "/look/", it.id,
                                    it.is_booking ? "POST" : "GET"),
                patience);
            made.push_back(std::move(it));
        }
        std::lock_guard const lock(mutex_);
        calls_.insert(calls_.end(), made.begin(), made.end());
    }

    void stop_callers()
    {
        stopping_ = true;
        for (auto& it : callers_)
        {
            it.join();
        }
    }

    void wait(core::duration time)
    {
        std::unique_lock lock(mutex_);
        never_.wait_for(lock, time, [] { return false; });
    }

    void inject_faults()
    {
        auto const end = core::boot_clock::now() + options_.length;
        while (core::boot_clock::now() < end)
        {
            auto const it = draw();
            auto const until =
                core::boot_clock::now() + shortest_fault +
                milliseconds(static_cast<long>(random_.below(fault_range_ms)));
            std::visit([&](auto const& f) { begin(f, until); }, it);
            ++result_.faults;
            wait(shortest_pause + milliseconds(static_cast<long>(
                                      random_.below(pause_range_ms))));
            end_faults(core::boot_clock::now());
        }
    }

    fault draw()
    {
        auto const vm = random_.below(deployment_.size());
        switch (random_.below(9))
        {
        case 0:
            return node_killed{vm};
        case 1:
            return node_stopped{vm};
        case 2:
            return node_paused{vm};
        case 3:
            return store_faulty{random_.below(2) == 0
                                    ? stand_ins::store_mode::unavailable
                                    : stand_ins::store_mode::unresponsive};
        case 4:
            return history_dropped{};
        case 5:
            return configuration_changed{};
        case 6:
            return worker_faulty{
                vm, random_.below(2) == 0
                        ? stand_ins::worker_fault::drops_responses
                        : stand_ins::worker_fault::adds_content_encoding};
        case 7:
            return worker_crashed{vm};
        default:
            return worker_draining{vm};
        }
    }

    void later(core::instant when, std::function<void()> action)
    {
        endings_.emplace(when, std::move(action));
    }

    void end_faults(core::instant until)
    {
        while (!endings_.empty() && endings_.begin()->first <= until)
        {
            auto const action = std::move(endings_.begin()->second);
            endings_.erase(endings_.begin());
            action();
        }
    }

    // One fault at a time for each process; others overlap as they like.
    bool take(std::size_t vm)
    {
        bool const was_free = !busy_[vm];
        busy_[vm] = true;
        return was_free;
    }

    void begin(node_killed const& it, core::instant until)
    {
        if (!take(it.vm))
        {
            return;
        }
        deployment_.node(it.vm).kill();
        restart_later(it.vm, until);
    }

    void begin(node_stopped const& it, core::instant until)
    {
        if (!take(it.vm))
        {
            return;
        }
        deployment_.node(it.vm).terminate();
        restart_later(it.vm, until + shortest_fault);
    }

    void restart_later(std::size_t vm, core::instant until)
    {
        later(until, [this, vm] {
            // The longest time that a stop may take, and some more.
            if (!deployment_.node(vm).wait_for(milliseconds(8'000)))
            {
                break_promise(fmt::format("node {} outlived its stop", vm));
                deployment_.node(vm).kill();
            }
            deployment_.start_node(vm);
            busy_[vm] = false;
        });
    }

    void begin(node_paused const& it, core::instant until)
    {
        if (!take(it.vm))
        {
            return;
        }
        deployment_.node(it.vm).pause();
        later(until, [this, vm = it.vm] {
            deployment_.node(vm).resume();
            busy_[vm] = false;
        });
    }

    void begin(store_faulty const& it, core::instant until)
    {
        deployment_.store().set_mode(it.mode);
        later(until, [this] {
            deployment_.store().set_mode(stand_ins::store_mode::available);
        });
    }

    void begin(history_dropped const&, core::instant)
    {
        deployment_.store().discard_history();
    }

    void begin(configuration_changed const&, core::instant)
    {
        deployment_.publish(routes(++configurations_));
    }

    void begin(worker_faulty const& it, core::instant until)
    {
        deployment_.worker(it.vm).set_fault(it.how);
        later(until, [this, vm = it.vm] {
            deployment_.worker(vm).set_fault(stand_ins::worker_fault::none);
        });
    }

    void begin(worker_crashed const& it, core::instant until)
    {
        if (!take(it.vm))
        {
            return;
        }
        deployment_.worker(it.vm).crash();
        later(until, [this, vm = it.vm] {
            deployment_.worker(vm).restart();
            busy_[vm] = false;
        });
    }

    void begin(worker_draining const& it, core::instant until)
    {
        deployment_.publish_worker(it.vm, "draining");
        later(until, [this, vm = it.vm] { deployment_.publish_worker(vm); });
    }

    void check_recovery()
    {
        for (std::size_t i = 0; i < deployment_.size(); ++i)
        {
            bool served = false;
            std::string last;
            for (int n = 0; n < recovery_tries && !served; ++n)
            {
                auto const id =
                    fmt::format("{}-after-{}-{}", options_.seed, i, n);
                auto const it = deployment_.call(
                    i, deployment::request("/look/", id), patience);
                served = it.status == 200;
                auto const* cause =
                    http::find_header(it.headers, "Yuccafall-Error");
                last = fmt::format("{} {}", it.status,
                                   cause == nullptr ? "" : *cause);
                wait(served ? milliseconds(0) : milliseconds(100));
            }
            if (!served)
            {
                break_promise(fmt::format(
                    "node {} did not serve after the faults: {}", i, last));
            }
        }
    }

    void check_calls()
    {
        std::map<std::string, int> runs;
        for (std::size_t i = 0; i < deployment_.size(); ++i)
        {
            for (auto const& [id, n] : deployment_.worker(i).counts().runs)
            {
                runs[id] += n;
            }
        }
        result_.calls = calls_.size();
        for (auto const& it : calls_)
        {
            check_call(it, runs.count(it.id) == 0 ? 0 : runs.at(it.id));
        }
    }

    void check_call(asked const& it, int runs)
    {
        auto const status = it.got.status;
        result_.answered += status == 200 ? 1 : 0;
        result_.refused += status == 503 ? 1 : 0;
        if (it.is_booking && runs > 1)
        {
            break_promise(fmt::format("{} ran {} times", it.id, runs));
        }
        if (status == 503 && runs > 0)
        {
            break_promise(fmt::format("{} was refused and ran", it.id));
        }
        if (status == 200 && it.got.body != "answer to " + it.id)
        {
            break_promise(fmt::format("{} got another answer", it.id));
        }
        if (status == 404)
        {
            break_promise(fmt::format("{} found no route", it.id));
        }
    }

    void break_promise(std::string what)
    {
        result_.broken.push_back(std::move(what));
    }

    soak_options options_;
    core::random_source random_;
    deployment deployment_;
    // A fault of the VM's node or worker has not ended.
    std::vector<bool> busy_;
    std::multimap<core::instant, std::function<void()>> endings_;
    std::uint64_t configurations_ = 0;
    std::atomic<bool> stopping_{false};
    std::vector<std::thread> callers_;
    std::mutex mutex_;
    std::condition_variable never_;
    // Guarded by mutex_ until the callers have ended.
    std::vector<asked> calls_;
    soak_result result_;
};

} // namespace

soak_result run_soak(soak_options const& options)
{
    return soak(options).run();
}

int report_soak(soak_options const& options)
{
    auto const it = run_soak(options);
    fmt::print("seed={} calls={} answered={} refused={} faults={} broken={}\n",
               options.seed, it.calls, it.answered, it.refused, it.faults,
               it.broken.size());
    for (auto const& line : it.broken)
    {
        fmt::print("broken: {}\n", line);
    }
    return it.broken.empty() ? 0 : 1;
}

} // namespace yuccafall::bench::soak
