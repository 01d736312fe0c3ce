// Checks the guarantees to callers by the responses that the callers got, by
// the requests that the workers ran and by the logs of the nodes.
#ifndef YUCCAFALL_BENCH_SOAK_GUARANTEE_CHECKS_HPP
#define YUCCAFALL_BENCH_SOAK_GUARANTEE_CHECKS_HPP

#include <cstddef>
#include <vector>

#include "bench/soak/callers.hpp"
#include "bench/soak/soak.hpp"
#include "stand_ins/deployment.hpp"

namespace yuccafall::bench::soak {

class guarantee_checks
{
public:
    // The arguments must outlive this object.
    guarantee_checks(soak_options const& options,
                     stand_ins::deployment& deployment, soak_result& result)
        : options_(&options), deployment_(&deployment), result_(&result)
    {}

    // Checks that each node serves after the faults have ended.
    void check_recovery();
    // Checks that each worker gets requests again after evacuations. The
    // callers must still send requests meanwhile.
    void check_workers_get_requests();
    // Checks the requests of the callers, which have ended, and the requests
    // that the workers got.
    void check_calls(std::vector<sent_request> const& calls);
    void check_logs();

private:
    // The platform allows one and a half times the limit in any four seconds,
    // and five requests, from three seconds after the first statement of it.
    void check_limit(std::size_t vm, stand_ins::limit_episode const& it);
    void check_call(sent_request const& it, int runs);

    soak_options const* options_;
    stand_ins::deployment* deployment_;
    soak_result* result_;
};

} // namespace yuccafall::bench::soak

#endif
