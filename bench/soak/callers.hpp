// The callers of the soak test, which send requests to all nodes until they are
// stopped.
#ifndef YUCCAFALL_BENCH_SOAK_CALLERS_HPP
#define YUCCAFALL_BENCH_SOAK_CALLERS_HPP

#include <atomic>
#include <cstddef>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "bench/soak/fault_injector.hpp"
#include "bench/soak/soak.hpp"
#include "core/units.hpp"
#include "stand_ins/caller_session.hpp"
#include "stand_ins/deployment.hpp"

namespace yuccafall::bench::soak {

constexpr core::milliseconds caller_timeout{2'500};

// A request that a caller has sent, and its result.
struct sent_request
{
    std::string id;
    bool is_booking = false;
    // The node was killed or paused while it had the request.
    bool node_failed = false;
    stand_ins::call_result result;
};

class callers
{
public:
    // The arguments must outlive this object.
    callers(soak_options const& options, stand_ins::deployment& deployment,
            fault_injector const& faults)
        : options_(&options), deployment_(&deployment), faults_(&faults)
    {}

    void start();
    // Ends the callers and returns the requests that they have sent.
    std::vector<sent_request> stop();

private:
    void run_caller(std::size_t caller);

    soak_options const* options_;
    stand_ins::deployment* deployment_;
    fault_injector const* faults_;
    std::atomic<bool> stopping_{false};
    std::vector<std::thread> threads_;
    std::mutex mutex_;
    // Invariant: accessed with mutex_ held until the threads have ended.
    std::vector<sent_request> sent_;
};

} // namespace yuccafall::bench::soak

#endif
