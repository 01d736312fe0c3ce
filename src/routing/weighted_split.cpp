// Smooth weighted round robin over the targets of a route.
#include "routing/weighted_split.hpp"

#include <algorithm>

namespace yuccafall::routing {

core::service_name const& weighted_split::next(route const& it)
{
    if (it.targets.size() == 1)
    {
        return it.targets.front().service;
    }
    auto& credit = routes_[it.name].credit;
    credit.resize(it.targets.size());
    std::int64_t total = 0;
    for (std::size_t i = 0; i < credit.size(); ++i)
    {
        credit[i] += it.targets[i].weight.value();
        total += it.targets[i].weight.value();
    }
    auto const most = std::max_element(credit.begin(), credit.end());
    *most -= total;
    return it.targets[static_cast<std::size_t>(most - credit.begin())].service;
}

} // namespace yuccafall::routing
