// Estimates how long a caller has waited in its earlier attempts.
//
// Callers of one route start with the same timeout, and a retry states the time
// that remains of it. The longest timeout seen on a route is therefore taken as
// that of a first attempt.
#ifndef YUCCAFALL_INGRESS_CALLER_TIMEOUTS_HPP
#define YUCCAFALL_INGRESS_CALLER_TIMEOUTS_HPP

#include <map>

#include "core/ids.hpp"
#include "core/units.hpp"

namespace yuccafall::ingress {

class caller_timeouts
{
public:
    core::milliseconds elapsed_before(core::route_name const& route,
                                      core::milliseconds timeout);

    // Forgets all timeouts. This is called when the routes change, since they
    // may have other callers from then on.
    void clear() { max_timeouts_.clear(); }

private:
    // A difference below this is network delay between the caller and the node,
    // not an earlier attempt.
    static constexpr core::milliseconds max_network_delay{20};

    std::map<core::route_name, core::milliseconds> max_timeouts_;
};

} // namespace yuccafall::ingress

#endif
