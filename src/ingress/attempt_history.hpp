// What the attempts of one call have shown so far, and which further attempts
// are left to it. No I/O.
//
// An offer is the message by which this node asks the node beside a worker to
// run the call. An attempt is one such offer and what follows from it.
#ifndef YUCCAFALL_INGRESS_ATTEMPT_HISTORY_HPP
#define YUCCAFALL_INGRESS_ATTEMPT_HISTORY_HPP

#include <cstdint>
#include <set>
#include <vector>

#include "balancing/upstream_scores.hpp"
#include "core/error.hpp"
#include "core/ids.hpp"
#include "core/units.hpp"
#include "ingress/next_step.hpp"
#include "routing/configuration.hpp"

namespace yuccafall::ingress {

// Returns what the end of an attempt shows of its upstream.
balancing::outcome outcome_of(attempt_result const& it);

class attempt_history
{
public:
    // Records an offer. It requires a free slot if the other node is asked to
    // refuse the call unless a slot is free.
    void record_offer(core::upstream_id const& upstream,
                      bool requires_free_slot);
    // Records the end of an attempt that brought no response.
    void record_end(attempt_result const& result);
    // Records what follows from it. `from` is the upstream of the attempt.
    void record_step(next_step const& step, attempt_result const& result,
                     balancing::upstream const& from);

    // Returns whether a further offer may require a free slot.
    bool may_require_free_slot() const
    {
        return offers_for_free_slot_ < max_offers_for_free_slot;
    }
    // Returns those of the upstreams that must not get the call: those that it
    // has been offered to, those in data centres that were evacuated according
    // to a refusal, and those in the data centres of `evacuated`.
    std::set<core::upstream_id>
    excluded_upstreams(std::vector<balancing::upstream> const& upstreams,
                       std::set<core::data_centre> const& evacuated) const;
    // `remaining` is the time until the deadline of the call.
    call_progress progress(routing::route const& route,
                           core::milliseconds remaining) const;
    // Returns the kind of the error response for an error of this kind. The
    // response may state that the call did not run only if that is true of all
    // attempts.
    core::error_kind kind_for_caller(core::error_kind it) const;

    std::uint32_t workers_reached() const { return workers_reached_; }
    std::uint32_t redirects() const { return redirects_; }
    std::uint32_t offers_for_free_slot() const { return offers_for_free_slot_; }
    // Returns the shortest retry delay that a refusal has stated, or 0 if none
    // has.
    core::milliseconds retry_after() const { return retry_after_; }

private:
    void update_retry_after(next_step const& step,
                            attempt_result const& result);

    std::set<core::upstream_id> tried_upstreams_;
    // A node beside a worker has refused the call because its data centre is
    // evacuated, which the view of the call may not state yet.
    std::set<core::data_centre> avoided_data_centres_;
    // Number of attempts that reached a worker.
    std::uint32_t workers_reached_ = 0;
    std::uint32_t redirects_ = 0;
    // Number of offers that required a free slot.
    std::uint32_t offers_for_free_slot_ = 0;
    core::milliseconds retry_after_{0};
    // True if an earlier attempt may have run the call.
    bool may_have_run_ = false;
};

} // namespace yuccafall::ingress

#endif
