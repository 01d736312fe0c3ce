// Load by blocking callers.
#include "bench/load.hpp"

#include <algorithm>
#include <thread>

#include <fmt/format.h>

#include "core/random.hpp"

namespace yuccafall::bench {

namespace {

constexpr core::milliseconds patience{3'000};

void run_caller(stand_ins::deployment& deployment, load_terms const& terms,
                std::size_t caller, std::vector<call_record>& into)
{
    core::random_source random(terms.seed + caller);
    for (std::size_t i = 0; i < terms.calls_per_caller; ++i)
    {
        auto const vm = random.below(deployment.size());
        auto const id = fmt::format("{}-{}-{}", terms.seed, caller, i);
        auto message =
            stand_ins::deployment::request(terms.target, id, terms.method);
        auto const it =
            terms.to_workers
                ? stand_ins::send_request(deployment.worker(vm).local(),
                                          message, patience)
                : deployment.call(vm, message, patience);
        into.push_back({id, it.status, it.took});
    }
}

} // namespace

std::vector<call_record> run_load(stand_ins::deployment& deployment,
                                  load_terms const& terms)
{
    std::vector<std::vector<call_record>> parts(terms.callers);
    std::vector<std::thread> callers;
    callers.reserve(terms.callers);
    for (std::size_t c = 0; c < terms.callers; ++c)
    {
        callers.emplace_back(
            [&, c] { run_caller(deployment, terms, c, parts[c]); });
    }
    std::vector<call_record> out;
    for (std::size_t c = 0; c < terms.callers; ++c)
    {
        callers[c].join();
        out.insert(out.end(), parts[c].begin(), parts[c].end());
    }
    return out;
}

double quantile_ms(std::vector<call_record> const& calls, double share)
{
    std::vector<core::duration> times;
    for (auto const& it : calls)
    {
        if (it.status == 200)
        {
            times.push_back(it.took);
        }
    }
    if (times.empty())
    {
        return 0;
    }
    std::sort(times.begin(), times.end());
    auto const last = static_cast<double>(times.size() - 1);
    auto const at = static_cast<std::size_t>(last * share);
    return std::chrono::duration<double, std::milli>(times[at]).count();
}

} // namespace yuccafall::bench
