// Runs calls in the local worker: prepares the request of a call, sends it, and
// counts the runs.
#ifndef YUCCAFALL_UPSTREAM_WORKER_RUNS_HPP
#define YUCCAFALL_UPSTREAM_WORKER_RUNS_HPP

#include <memory>

#include "metadata/header_codec.hpp"
#include "retries/local_runs.hpp"
#include "upstream/call_table.hpp"
#include "upstream/counters.hpp"
#include "upstream/worker_client.hpp"

namespace yuccafall::upstream {

// Not thread-safe: each object is used on the traffic thread only.
class worker_runs
{
public:
    worker_runs(std::shared_ptr<worker_client> client,
                metadata::header_codec header_codec,
                std::shared_ptr<retries::local_runs> local_runs,
                std::shared_ptr<counters> counters);

    // Sends the request of the call to the worker, which leaves the request of
    // the offer empty, and sets the members that describe the run. The handler
    // is called asynchronously with the outcome, never from within start().
    void start(call_entry& call, worker_client::outcome_handler done);

private:
    std::shared_ptr<worker_client> client_;
    metadata::header_codec header_codec_;
    // Invariant: counts each run from its start until its outcome is known.
    std::shared_ptr<retries::local_runs> local_runs_;
    std::shared_ptr<counters> counters_;
};

} // namespace yuccafall::upstream

#endif
