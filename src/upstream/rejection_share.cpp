// Implements the moving average of the calls that the worker turns away.
#include "upstream/rejection_share.hpp"

namespace yuccafall::upstream {

namespace {

// A run that ends without a response after this multiple of its usual time
// counts against the worker, whoever ended it.
constexpr int overdue_ratio = 3;

// Weight of a new sample in the moving average of rejected calls.
constexpr double rejection_weight = 0.08;

bool counts(ended_run const& run)
{
    switch (run.end)
    {
    case run_end::answered:
    case run_end::rejected:
        return true;
    case run_end::failed:
        return run.lost || run.took >= overdue_ratio * run.expected;
    case run_end::unreachable:
        return false;
    }
    return false;
}

} // namespace

void rejection_share::record(ended_run const& run)
{
    if (!counts(run))
    {
        return;
    }
    double const sample = run.end == run_end::answered ? 0.0 : 1.0;
    share_ += rejection_weight * (sample - share_);
}

core::percentage rejection_share::value() const
{
    return core::percentage(static_cast<std::uint32_t>(share_ * 100));
}

} // namespace yuccafall::upstream
