// Limits how many calls are retried at another worker after they have reached
// one.
//
// The platform limits the retries for each service over all nodes together: a
// share of the requests for the service, plus a fixed number in each time
// window. Each node keeps to its own part of both limits, so that it does not
// need to know how many retries other nodes make. The budget of a node is the
// number of retries that it may still make for a service.
#ifndef YUCCAFALL_RETRIES_RETRY_BUDGET_HPP
#define YUCCAFALL_RETRIES_RETRY_BUDGET_HPP

#include <map>

#include "core/ids.hpp"
#include "core/units.hpp"

namespace yuccafall::retries {

struct budget_settings
{
    // The platform's limits on the retries of all nodes together: a percentage
    // of the requests (ratio), plus a fixed number (slack) in each time window.
    core::percentage ratio{20};
    core::queue_length slack{64};
    core::milliseconds window{10'000};
    // Percentage of the ratio that the nodes use. Retries follow the requests
    // that allow them, so only the calls of repeats that are estimated too low
    // need a reserve.
    core::percentage used_ratio_share{80};
    // Percentage of the ratio that a node may save up from the requests of one
    // window, for the moment when a node fails that has many open calls. Part
    // of the reserve above is used for it.
    core::percentage saved_ratio_share{10};
    // Percentage of the slack that the nodes use. The rest covers nodes that
    // have just started and what refills within a window.
    core::percentage used_slack_share{60};
};

class retry_budget
{
public:
    explicit retry_budget(budget_settings settings) : settings_(settings) {}

    void set_nodes(core::node_count nodes) { node_count_ = nodes; }

    // Records a request for the service. A nested call that a repeat has made
    // is no request but a retry; `repeat_share` is the probability of that,
    // from 0 to 1.
    void record_request(core::service_name const& service, core::instant now,
                        double repeat_share = 0);

    // Returns whether the budget has a retry left.
    bool may_take(core::service_name const& service, core::instant now);
    // Takes one retry from the budget. Returns false if the budget is used up.
    bool try_take(core::service_name const& service, core::instant now);

private:
    struct bucket
    {
        // Number of retries that may be made now. It is negative after more
        // calls of repeats than the budget allows.
        double tokens = 0;
        // Number of requests in the current half of a window and in the one
        // before it. Older ones do not count, since the platform may not count
        // them either.
        double current_requests = 0;
        double previous_requests = 0;
        core::instant half_started_at{};
        core::instant refilled_at{};
    };

    // Returns this node's part of the fixed number of retries in a window,
    // which is at least 1.
    double fixed_part() const;
    // Returns the maximum number of tokens.
    double capacity(bucket const& it) const;
    // Drops the requests that are too old to count.
    void forget_requests(bucket& it, core::instant now) const;
    // Adds the tokens for the time since the last refill.
    bucket& refill(core::service_name const& service, core::instant now);

    budget_settings settings_;
    core::node_count node_count_{1};
    std::map<core::service_name, bucket> buckets_;
};

} // namespace yuccafall::retries

#endif
