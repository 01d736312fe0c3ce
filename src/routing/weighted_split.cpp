// Smooth weighted round robin: for each request, every target gains its weight
// as credit. The target with the highest credit is selected, and the sum of all
// weights is subtracted from its credit.
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
    auto const selected = std::max_element(credit.begin(), credit.end());
    *selected -= total;
    return it.targets[static_cast<std::size_t>(selected - credit.begin())]
        .service;
}

} // namespace yuccafall::routing
