// Implements the admission of requests during a drain.
#include "ingress/drain_admission.hpp"

namespace yuccafall::ingress {

namespace {

// Most responses come within the target latency, and next to all within twice
// that time.
constexpr int min_target_latencies_left = 2;

} // namespace

std::optional<core::instant>
deadline_while_draining(core::instant now, core::instant deadline,
                        core::milliseconds target_latency,
                        core::instant calls_end_at)
{
    if (deadline <= calls_end_at)
    {
        return deadline;
    }
    if (calls_end_at - now < target_latency * min_target_latencies_left)
    {
        return std::nullopt;
    }
    return calls_end_at;
}

} // namespace yuccafall::ingress
