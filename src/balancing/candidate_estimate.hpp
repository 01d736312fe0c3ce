// What a node expects of a call at one worker that it has compared with others.
#ifndef YUCCAFALL_BALANCING_CANDIDATE_ESTIMATE_HPP
#define YUCCAFALL_BALANCING_CANDIDATE_ESTIMATE_HPP

#include <optional>

#include "core/units.hpp"

namespace yuccafall::balancing {

// All times count from the choice of the upstream.
struct candidate_estimate
{
    // Time until the call gets a slot. Zero if the worker's most recent report
    // states no wait for the call.
    core::duration wait{};
    // Time for which the call will hold a slot.
    core::duration run_time{};
    // Time until the call has ended and a long response has crossed the link of
    // the worker's VM.
    core::duration ends_after{};
    // Time since the worker's most recent report, or nothing if there is none.
    std::optional<core::duration> report_age;
    // Number of waiting calls by that report.
    core::queue_length waiting;
    core::slot_count slots{1};
};

} // namespace yuccafall::balancing

#endif
