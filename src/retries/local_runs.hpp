// Counts the runs of the local worker, the one beside this node, and how many
// of them are repeats: runs of a request that has reached a worker before.
//
// The platform counts the calls that a repeat makes as retries, too. A nested
// call does not name the run that made it, so it counts by the share of repeats
// among the runs at that time.
#ifndef YUCCAFALL_RETRIES_LOCAL_RUNS_HPP
#define YUCCAFALL_RETRIES_LOCAL_RUNS_HPP

#include <cstddef>

namespace yuccafall::retries {

class local_runs
{
public:
    void record_start(bool is_repeat)
    {
        ++running_;
        repeats_ += is_repeat ? 1 : 0;
    }

    // Must be called once for each record_start().
    void record_end(bool is_repeat)
    {
        --running_;
        repeats_ -= is_repeat ? 1 : 0;
    }

    // Returns the share of repeats among the runs, from 0 to 1.
    double repeat_share() const
    {
        return running_ == 0 ? 0
                             : static_cast<double>(repeats_) /
                                   static_cast<double>(running_);
    }

private:
    std::size_t running_ = 0;
    // Invariant: at most running_.
    std::size_t repeats_ = 0;
};

} // namespace yuccafall::retries

#endif
