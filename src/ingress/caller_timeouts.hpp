// Draws conclusions from the timeouts that callers state: how long ago a caller
// sent a request for the first time, if it sends the same request again, and
// which routes workers call while they run a request.
//
// All callers of a route start with the same timeout. A caller that sends its
// request again states the time that remains of that timeout. The longest
// timeout seen on a route is therefore taken as that of a request that is sent
// for the first time.
//
// A nested call, which a worker makes while it runs another request, has to end
// well before that request. Its timeout is therefore much shorter than those of
// clients. Nothing else in a request distinguishes it.
#ifndef YUCCAFALL_INGRESS_CALLER_TIMEOUTS_HPP
#define YUCCAFALL_INGRESS_CALLER_TIMEOUTS_HPP

#include <map>

#include "core/ids.hpp"
#include "core/units.hpp"

namespace yuccafall::ingress {

class caller_timeouts
{
public:
    // Returns the estimated time since the caller first sent the request that
    // now states this timeout. Returns zero for a request that is sent for the
    // first time.
    core::milliseconds time_since_first_request(core::route_name const& route,
                                                core::milliseconds timeout);

    // Returns whether the calls of the route are nested. Until a longer timeout
    // has been seen on another route, `max_nested_timeout` decides.
    bool is_nested(core::route_name const& route,
                   core::milliseconds max_nested_timeout) const;

    // Removes all timeouts. Must be called when the routes change, since they
    // may have callers with other timeouts from then on.
    void clear();

private:
    // A timeout that is shorter than the longest one by less than this is not
    // taken as that of a request that is sent again: the difference may be
    // network delay between the caller and the node.
    static constexpr core::milliseconds max_network_delay{20};

    // Longest timeout of a nested call, as a percentage of the longest timeout
    // of any caller.
    static constexpr core::percentage max_nested_share{40};

    std::map<core::route_name, core::milliseconds> max_timeouts_;
    // Invariant: the maximum of max_timeouts_.
    core::milliseconds longest_timeout_{0};
};

} // namespace yuccafall::ingress

#endif
