// Draws conclusions from the timeouts that callers state: how long ago a caller
// sent a request for the first time, if it sends the same request again, and
// which routes workers call while they run a request.
//
// All callers of a route start with the same timeout. A caller that sends its
// request again states the time that remains of that timeout. The longest
// recent timeout on a route is therefore taken as that of a request that is
// sent for the first time.
//
// A nested call, which a worker makes while it runs another request, has to end
// well before that request. Its timeout is therefore much shorter than those of
// clients. Nothing else in a request distinguishes it.
#ifndef YUCCAFALL_INGRESS_CALLER_TIMEOUTS_HPP
#define YUCCAFALL_INGRESS_CALLER_TIMEOUTS_HPP

#include <cstdint>
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

private:
    struct route_timeouts
    {
        core::milliseconds longest() const;

        // Longest timeouts of the requests since the period began and of the
        // period before.
        core::milliseconds longest_in_period{0};
        core::milliseconds longest_before{0};
        std::uint32_t requests_in_period = 0;
        // Number of requests, halved with all others from time to time.
        std::uint32_t recent_requests = 0;
    };

    // A timeout that is shorter than the longest one by less than this is not
    // taken as that of a request that is sent again: the difference may be
    // network delay between the caller and the node.
    static constexpr core::milliseconds max_network_delay{20};

    // Longest timeout of a nested call, as a percentage of the longest timeout
    // of any caller.
    static constexpr core::percentage max_nested_share{40};

    // The longest timeout of a route is that of the last one to two periods of
    // this many requests, so that it follows a change of the callers.
    static constexpr std::uint32_t requests_per_period = 64;

    // Fewest recent requests of a route whose timeout is compared with those of
    // others, and their least share of all requests as a percentage. The single
    // requests by which operators check routes may state any timeout.
    static constexpr std::uint32_t min_requests = 3;
    static constexpr core::percentage min_request_share{2};

    // The counts of requests are halved when their sum exceeds this.
    static constexpr std::uint32_t max_recent_requests = 1'024;

    void record(core::route_name const& route, core::milliseconds timeout);
    void halve_counts();
    // Returns the longest timeout of the routes that have enough requests, or
    // of all routes if none has.
    core::milliseconds find_longest_timeout() const;

    std::map<core::route_name, route_timeouts> routes_;
    // Invariant: the sum of recent_requests over all routes.
    std::uint32_t recent_requests_ = 0;
    // The result of find_longest_timeout() after the last request.
    core::milliseconds longest_timeout_{0};
};

} // namespace yuccafall::ingress

#endif
