// Estimates how many calls a worker has open now from outdated load reports.
//
// Each report is outdated when it arrives, since other nodes send calls that it
// does not include and running calls end. The older a report is, the less it
// says about the present: the estimate moves from the reported number to the
// mean of the worker's reports. After the run time of a call, nearly two thirds
// of the calls that the report counted have ended and others have taken their
// place, so the run time is the time constant.
#ifndef YUCCAFALL_BALANCING_EXPECTED_LOAD_HPP
#define YUCCAFALL_BALANCING_EXPECTED_LOAD_HPP

#include "core/units.hpp"

namespace yuccafall::balancing {

// Not thread-safe: each object is used on the traffic thread only.
class expected_load
{
public:
    // Records the number of calls that ran or waited at the worker.
    void record_report(double open_calls, core::instant now);

    // Returns the expected number of open calls, or 0 without a report. A call
    // holds a slot of the worker for `run_time`.
    double open_calls(core::duration run_time, core::instant now) const;

private:
    double reported_ = 0;
    // Moving average over the reports. It exceeds the average over time, since
    // reports are sent mostly while the worker is nearly full.
    double mean_ = 0;
    // Invariant: the default value if and only if there is no report.
    core::instant reported_at_{};
};

} // namespace yuccafall::balancing

#endif
