// Implements the wait of a call by its rank.
#include "balancing/load_report.hpp"

namespace yuccafall::balancing {

core::milliseconds wait_for_call(load_report const& load, bool nested,
                                 core::rank rank)
{
    if (nested)
    {
        return load.wait_for_nested;
    }
    if (load.waits_by_rank.empty())
    {
        return load.wait_at_back;
    }
    rank_wait const* nearest = nullptr;
    for (auto const& it : load.waits_by_rank)
    {
        if (it.rank <= rank && (nearest == nullptr || nearest->rank < it.rank))
        {
            nearest = &it;
        }
    }
    return nearest == nullptr ? load.wait_for_nested : nearest->wait;
}

} // namespace yuccafall::balancing
