// Runs the parts of the soak test one after the other and prints the result.
#include "bench/soak/soak.hpp"

#include <utility>

#include <fmt/format.h>

#include "bench/soak/callers.hpp"
#include "bench/soak/fault_injector.hpp"
#include "bench/soak/guarantee_checks.hpp"
#include "bench/soak/soak_deployment.hpp"
#include "stand_ins/deployment.hpp"

namespace yuccafall::bench::soak {

void record_violation(soak_result& result, std::string what)
{
    result.broken.push_back(std::move(what));
}

soak_result run_soak(soak_options const& options)
{
    soak_result out;
    stand_ins::deployment deployment(make_vms(options.nodes),
                                     make_routes(0, options.extended));
    fault_injector faults(options, deployment, out);
    callers all_callers(options, deployment, faults);
    guarantee_checks checks(options, deployment, out);
    deployment.start_nodes();
    for (std::size_t i = 0; i < deployment.size(); ++i)
    {
        if (!deployment.wait_until_ready(i))
        {
            record_violation(out,
                             fmt::format("node {} did not become ready", i));
        }
    }
    all_callers.start();
    faults.run();
    faults.end_faults(core::instant::max());
    checks.check_recovery();
    if (faults.has_evacuated())
    {
        checks.check_workers_get_requests();
    }
    checks.check_calls(all_callers.stop());
    checks.check_logs();
    return out;
}

int report_soak(soak_options const& options)
{
    auto const it = run_soak(options);
    fmt::print("seed={} calls={} answered={} refused={} faults={} "
               "cold_arrivals={} broken={}\n",
               options.seed, it.calls, it.answered, it.refused, it.faults,
               it.cold_arrivals, it.broken.size());
    for (auto const& line : it.broken)
    {
        fmt::print("broken: {}\n", line);
    }
    for (auto const& log : it.logs)
    {
        fmt::print("{}\n", log);
    }
    return it.broken.empty() ? 0 : 1;
}

} // namespace yuccafall::bench::soak
