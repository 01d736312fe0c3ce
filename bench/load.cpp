// Runs the callers. Each one blocks until its current call has ended.
#include "bench/load.hpp"

#include <algorithm>
#include <thread>

#include <fmt/format.h>

#include "core/random.hpp"

namespace yuccafall::bench {

namespace {

constexpr core::milliseconds caller_timeout{3'000};

void run_caller(stand_ins::deployment& deployment, load_options const& options,
                std::size_t caller, std::vector<call_record>& results)
{
    core::random_source random(options.seed + caller);
    for (std::size_t i = 0; i < options.calls_per_caller; ++i)
    {
        auto const vm = random.below(deployment.size());
        auto const id = fmt::format("{}-{}-{}", options.seed, caller, i);
        auto request =
            stand_ins::deployment::request(options.target, id, options.method);
        auto const it =
            options.bypass_nodes
                ? stand_ins::send_request(deployment.worker(vm).local(),
                                          request, caller_timeout)
                : deployment.call(vm, request, caller_timeout);
        results.push_back({id, it.status, it.took});
    }
}

} // namespace

std::vector<call_record> run_load(stand_ins::deployment& deployment,
                                  load_options const& options)
{
    std::vector<std::vector<call_record>> results_by_caller(options.callers);
    std::vector<std::thread> callers;
    callers.reserve(options.callers);
    for (std::size_t c = 0; c < options.callers; ++c)
    {
        callers.emplace_back([&, c] {
            run_caller(deployment, options, c, results_by_caller[c]);
        });
    }
    std::vector<call_record> results;
    for (std::size_t c = 0; c < options.callers; ++c)
    {
        callers[c].join();
        results.insert(results.end(), results_by_caller[c].begin(),
                       results_by_caller[c].end());
    }
    return results;
}

double duration_quantile_ms(std::vector<call_record> const& calls, double level)
{
    std::vector<core::duration> durations;
    for (auto const& it : calls)
    {
        if (it.status == 200)
        {
            durations.push_back(it.duration);
        }
    }
    if (durations.empty())
    {
        return 0;
    }
    std::sort(durations.begin(), durations.end());
    auto const last = static_cast<double>(durations.size() - 1);
    auto const index = static_cast<std::size_t>(last * level);
    return std::chrono::duration<double, std::milli>(durations[index]).count();
}

} // namespace yuccafall::bench
