// Measures which share of the calls the local worker turns away: those that it
// rejects, and those that it leaves without a response. No I/O.
#ifndef YUCCAFALL_UPSTREAM_REJECTION_SHARE_HPP
#define YUCCAFALL_UPSTREAM_REJECTION_SHARE_HPP

#include "core/units.hpp"

namespace yuccafall::upstream {

// How the worker dealt with a run.
enum class run_end
{
    answered,
    rejected,
    // The run got no valid response, whoever ended it.
    failed,
    // No connection to the worker could be opened.
    unreachable,
};

struct ended_run
{
    run_end end;
    // The slot queue has counted the run as one that the worker does not have.
    bool lost = false;
    core::duration took{0};
    // Usual time of a run of the same route.
    core::duration expected{0};
};

class rejection_share
{
public:
    // A failed run counts only if the worker should have responded by its end.
    void record(ended_run const& run);

    core::percentage value() const;

private:
    // Moving average of the share of calls that the worker rejected or left
    // without a response, from 0 to 1.
    double share_ = 0;
};

} // namespace yuccafall::upstream

#endif
