// Injects the faults of the soak test from outside the nodes, and ends them.
#ifndef YUCCAFALL_BENCH_SOAK_FAULT_INJECTOR_HPP
#define YUCCAFALL_BENCH_SOAK_FAULT_INJECTOR_HPP

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "bench/soak/faults.hpp"
#include "bench/soak/soak.hpp"
#include "core/random.hpp"
#include "core/units.hpp"
#include "stand_ins/deployment.hpp"

namespace yuccafall::bench::soak {

class fault_injector
{
public:
    // The arguments must outlive this object.
    fault_injector(soak_options const& options,
                   stand_ins::deployment& deployment, soak_result& result);

    // Injects faults for the length of the test. Some of them have not ended
    // when this returns.
    void run();
    // Ends the faults whose end is due by the given time.
    void end_faults(core::instant due);

    // Returns how often the node of the VM was killed, paused or resumed.
    // Thread-safe.
    std::uint64_t node_failures(std::size_t vm) const
    {
        return node_failures_[vm].load();
    }
    bool has_evacuated() const { return !evacuations_.empty(); }

private:
    void schedule_end(core::instant when, std::function<void()> action);
    // Reserves the node and the worker of a VM for a fault. Returns false if
    // another fault has reserved them, since only one fault at a time may stop
    // or pause a process. Faults of different VMs and of the store may overlap.
    bool try_reserve(std::size_t vm);
    void schedule_restart(std::size_t vm, core::instant until);
    void inject(node_killed const& it, core::instant until);
    void inject(node_stopped const& it, core::instant until);
    void inject(node_paused const& it, core::instant until);
    void inject(store_faulty const& it, core::instant until);
    void inject(history_dropped const& it, core::instant until);
    void inject(configuration_changed const& it, core::instant until);
    void inject(worker_faulty const& it, core::instant until);
    void inject(worker_crashed const& it, core::instant until);
    void inject(worker_draining const& it, core::instant until);
    void inject(node_reloaded const& it, core::instant until);
    void inject(worker_limited const& it, core::instant until);
    // Evacuations of one data centre may overlap. The key is deleted when the
    // last of them ends.
    void inject(data_centre_evacuated const& it, core::instant until);
    void inject(worker_cold const& it, core::instant until);

    soak_options const* options_;
    core::random_source random_;
    stand_ins::deployment* deployment_;
    soak_result* result_;
    // True for each VM whose node or worker is reserved for a fault that has
    // not ended yet.
    std::vector<bool> is_reserved_;
    // Number of evacuations that have not ended, by their key in the store.
    std::map<std::string, int> evacuations_;
    // True for each VM whose worker states a limit.
    std::vector<bool> is_limited_;
    // How often the node of each VM was killed, paused or resumed.
    std::vector<std::atomic<std::uint64_t>> node_failures_;
    // Actions that end the faults, by the time at which they are due.
    std::multimap<core::instant, std::function<void()>> fault_ends_;
    std::uint64_t configuration_number_ = 0;
};

} // namespace yuccafall::bench::soak

#endif
