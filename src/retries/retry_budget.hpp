// Limits how many calls are sent to a second worker.
//
// The platform's bound holds for all nodes together and one service: a share
// of the requests for it, plus a fixed number in a window. Each node keeps to
// its own part of both, so that no node needs to know of the others' retries.
#ifndef YUCCAFALL_RETRIES_RETRY_BUDGET_HPP
#define YUCCAFALL_RETRIES_RETRY_BUDGET_HPP

#include <map>

#include "core/ids.hpp"
#include "core/units.hpp"

namespace yuccafall::retries {

struct budget_settings
{
    // Of the fleet, from the platform's settings.
    core::percentage ratio{20};
    core::queue_length slack{64};
    core::milliseconds window{10'000};
    // Part of the fleet's budget that is used; the rest covers requests that
    // the store's window does not count and nodes that have just started.
    core::percentage used{60};
};

class retry_budget
{
public:
    explicit retry_budget(budget_settings settings) : settings_(settings) {}

    void set_nodes(core::node_count nodes) { nodes_ = nodes; }

    void requested(core::service_name const& of, core::instant now);

    // Takes one retry from the budget, or returns false.
    bool take(core::service_name const& of, core::instant now);

private:
    struct account
    {
        // Invariant: between 0 and most().
        double tokens = 0;
        core::instant refilled{};
    };

    double most() const;
    account& refilled(core::service_name const& of, core::instant now);

    budget_settings settings_;
    core::node_count nodes_{1};
    std::map<core::service_name, account> accounts_;
};

} // namespace yuccafall::retries

#endif
