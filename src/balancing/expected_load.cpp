// Interprets load reports by their age.
#include "balancing/expected_load.hpp"

#include <algorithm>
#include <cmath>

namespace yuccafall::balancing {

namespace {

// Weight of a new report in the moving average. About the last twenty reports,
// which span a second or more, determine it.
constexpr double report_weight = 0.05;

// Lower limit on the time constant, so that run times of zero are allowed.
constexpr core::duration min_run_time = core::milliseconds(1);

} // namespace

void expected_load::record_report(double open_calls, core::instant now)
{
    if (reported_at_ == core::instant{})
    {
        mean_ = open_calls;
    }
    mean_ += report_weight * (open_calls - mean_);
    reported_ = open_calls;
    reported_at_ = now;
}

double expected_load::open_calls(core::duration run_time,
                                 core::instant now) const
{
    using seconds = std::chrono::duration<double>;
    auto const age =
        std::max<core::duration>(now - reported_at_, core::duration::zero());
    auto const remaining_share =
        std::exp(-seconds(age) / seconds(std::max(run_time, min_run_time)));
    return mean_ + remaining_share * (reported_ - mean_);
}

} // namespace yuccafall::balancing
