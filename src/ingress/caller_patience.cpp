// Keeps the longest timeout seen on each route.
#include "ingress/caller_patience.hpp"

#include <algorithm>

namespace yuccafall::ingress {

core::milliseconds caller_patience::waited_before(core::route_name const& route,
                                                  core::milliseconds patience)
{
    auto& longest = longest_[route];
    longest = std::max(longest, patience);
    auto const waited = longest - patience;
    return waited < unnoticed ? core::milliseconds(0) : waited;
}

} // namespace yuccafall::ingress
