// Decides whether the workers at the local worker's address may get calls.
//
// A worker gets none while the data centre is evacuated, while it leaves, after
// another worker has taken its address, and for a short time after it could not
// be reached. This node's own drain ends all further calls. No I/O.
#ifndef YUCCAFALL_UPSTREAM_WORKER_AVAILABILITY_HPP
#define YUCCAFALL_UPSTREAM_WORKER_AVAILABILITY_HPP

#include <optional>
#include <vector>

#include "core/error.hpp"
#include "core/ids.hpp"
#include "core/units.hpp"
#include "upstream/local_workers.hpp"

namespace yuccafall::upstream {

struct offer_refusal
{
    core::error_kind kind;
    core::milliseconds retry_after{0};
};

class worker_availability
{
public:
    // Offers are refused for this long after the worker could not be reached.
    static constexpr core::milliseconds unreachable_backoff{250};

    void set_workers(std::vector<listed_worker> const& it) { workers_.set(it); }
    // Records that the worker has stated in a response that it leaves. Returns
    // true if the statement is new.
    bool record_leaving(core::upstream_id const& id, core::instant now)
    {
        return workers_.record_leaving(id, now);
    }
    // Records that another worker has taken the address of this one.
    void record_replaced(core::upstream_id const& id)
    {
        workers_.record_replaced(id);
    }
    // Records that the worker has refused a connection.
    void record_unreachable(core::instant now);
    // Starts the drain of this node, which does not end. Returns false if it
    // has started already.
    bool start_draining();

    // Returns how an offer for the worker is refused on arrival, or nothing if
    // the slot queue decides.
    std::optional<offer_refusal> refusal_of_offer(core::upstream_id const& id,
                                                  core::instant now) const;
    // Returns the kind of the refusals of all calls, new and waiting ones, or
    // nothing if a worker may get calls.
    std::optional<core::error_kind>
    refusal_of_all_calls(core::instant now) const;

    bool draining() const { return draining_; }
    local_workers const& workers() const { return workers_; }

private:
    local_workers workers_;
    // Offers are refused before this time, because the worker has refused a
    // connection.
    core::instant unreachable_until_{};
    // Invariant: not reset once it is true.
    bool draining_ = false;
};

} // namespace yuccafall::upstream

#endif
