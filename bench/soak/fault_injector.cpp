// Implements the start and the end of each fault.
#include "bench/soak/fault_injector.hpp"

#include <utility>

#include <fmt/format.h>

#include "bench/soak/pause.hpp"
#include "bench/soak/soak_deployment.hpp"

namespace yuccafall::bench::soak {

namespace {

using core::milliseconds;

// The pause between the starts of two faults is random, and so is the duration
// of a fault. Most faults last longer than the pause, so that they overlap.
constexpr milliseconds min_pause{80};
constexpr std::uint64_t pause_range_ms = 320;
// A limit lasts so much longer that it binds for some seconds.
constexpr milliseconds limit_duration{6'000};
constexpr milliseconds min_fault_duration{150};
constexpr std::uint64_t fault_duration_range_ms = 1'200;
// A worker writes its entry about this often.
constexpr std::uint64_t entry_interval_ms = 1'500;

} // namespace

fault_injector::fault_injector(soak_options const& options,
                               stand_ins::deployment& deployment,
                               soak_result& result)
    : options_(&options), random_(options.seed), deployment_(&deployment),
      result_(&result), is_reserved_(options.nodes), is_limited_(options.nodes),
      node_failures_(options.nodes)
{}

void fault_injector::run()
{
    auto const injection_end = core::boot_clock::now() + options_->length;
    while (core::boot_clock::now() < injection_end)
    {
        auto const injected =
            draw_fault(random_, deployment_->size(), *options_);
        auto const until = core::boot_clock::now() + min_fault_duration +
                           milliseconds(static_cast<long>(
                               random_.below(fault_duration_range_ms)));
        std::visit([&](auto const& it) { inject(it, until); }, injected);
        ++result_->faults;
        pause_for(min_pause + milliseconds(static_cast<long>(
                                  random_.below(pause_range_ms))));
        end_faults(core::boot_clock::now());
    }
}

void fault_injector::end_faults(core::instant due)
{
    while (!fault_ends_.empty() && fault_ends_.begin()->first <= due)
    {
        auto const action = std::move(fault_ends_.begin()->second);
        fault_ends_.erase(fault_ends_.begin());
        action();
    }
}

void fault_injector::schedule_end(core::instant when,
                                  std::function<void()> action)
{
    fault_ends_.emplace(when, std::move(action));
}

bool fault_injector::try_reserve(std::size_t vm)
{
    bool const was_free = !is_reserved_[vm];
    is_reserved_[vm] = true;
    return was_free;
}

void fault_injector::inject(node_killed const& it, core::instant until)
{
    if (!try_reserve(it.vm))
    {
        return;
    }
    ++node_failures_[it.vm];
    deployment_->node(it.vm).kill();
    schedule_restart(it.vm, until);
}

void fault_injector::inject(node_stopped const& it, core::instant until)
{
    if (!try_reserve(it.vm))
    {
        return;
    }
    deployment_->node(it.vm).terminate();
    schedule_restart(it.vm, until + min_fault_duration);
}

void fault_injector::schedule_restart(std::size_t vm, core::instant until)
{
    schedule_end(until, [this, vm] {
        // This exceeds the longest time that a node may take to stop.
        if (!deployment_->node(vm).wait_for(milliseconds(8'000)))
        {
            record_violation(
                *result_,
                fmt::format("node {} did not exit in time after it was stopped",
                            vm));
            deployment_->node(vm).kill();
        }
        deployment_->start_node(vm);
        is_reserved_[vm] = false;
    });
}

void fault_injector::inject(node_paused const& it, core::instant until)
{
    if (!try_reserve(it.vm))
    {
        return;
    }
    ++node_failures_[it.vm];
    deployment_->node(it.vm).pause();
    schedule_end(until, [this, vm = it.vm] {
        ++node_failures_[vm];
        deployment_->node(vm).resume();
        is_reserved_[vm] = false;
    });
}

void fault_injector::inject(store_faulty const& it, core::instant until)
{
    deployment_->store().set_mode(it.mode);
    schedule_end(until, [this] {
        deployment_->store().set_mode(stand_ins::store_mode::available);
    });
}

void fault_injector::inject(history_dropped const&, core::instant)
{
    deployment_->store().discard_history();
}

void fault_injector::inject(configuration_changed const&, core::instant)
{
    deployment_->publish(
        make_routes(++configuration_number_, options_->extended));
}

void fault_injector::inject(worker_faulty const& it, core::instant until)
{
    deployment_->worker(it.vm).set_fault(it.kind);
    schedule_end(until, [this, vm = it.vm] {
        deployment_->worker(vm).set_fault(stand_ins::worker_fault::none);
    });
}

void fault_injector::inject(worker_crashed const& it, core::instant until)
{
    if (!try_reserve(it.vm))
    {
        return;
    }
    deployment_->worker(it.vm).crash();
    schedule_end(until, [this, vm = it.vm] {
        deployment_->worker(vm).restart();
        is_reserved_[vm] = false;
    });
}

void fault_injector::inject(worker_draining const& it, core::instant until)
{
    deployment_->publish_worker(it.vm, "draining");
    schedule_end(until,
                 [this, vm = it.vm] { deployment_->publish_worker(vm); });
}

void fault_injector::inject(node_reloaded const& it, core::instant)
{
    if (!deployment_->node(it.vm).has_ended() &&
        deployment_->node(it.vm).survives_reload())
    {
        deployment_->node(it.vm).reload();
    }
}

void fault_injector::inject(worker_limited const& it, core::instant until)
{
    if (is_limited_[it.vm])
    {
        return;
    }
    is_limited_[it.vm] = true;
    deployment_->worker(it.vm).set_rate_limit(
        fmt::format("{}.5", 2 + random_.below(20)));
    schedule_end(until + limit_duration, [this, vm = it.vm] {
        deployment_->worker(vm).set_rate_limit("");
        is_limited_[vm] = false;
    });
}

void fault_injector::inject(data_centre_evacuated const& it,
                            core::instant until)
{
    auto const key = "op/evacuate/" + it.data_centre;
    deployment_->store().put(key, "{}");
    ++evacuations_[key];
    schedule_end(until, [this, key] {
        if (--evacuations_[key] == 0)
        {
            deployment_->store().erase(key);
        }
    });
}

void fault_injector::inject(worker_cold const& it, core::instant)
{
    auto const now = core::boot_clock::now();
    auto const written_after =
        milliseconds(static_cast<long>(random_.below(entry_interval_ms)));
    deployment_->worker(it.vm).become_cold(cold_time);
    schedule_end(now + written_after, [this, vm = it.vm, written_after] {
        deployment_->publish_worker(vm, "ready", cold_time - written_after);
    });
    schedule_end(now + cold_time,
                 [this, vm = it.vm] { deployment_->publish_worker(vm); });
}

} // namespace yuccafall::bench::soak
