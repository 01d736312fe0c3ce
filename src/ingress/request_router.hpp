// Decides whether the node takes a request of a caller, and on which terms: its
// route, the service that runs it, its deadline and whether it is nested. No
// I/O.
#ifndef YUCCAFALL_INGRESS_REQUEST_ROUTER_HPP
#define YUCCAFALL_INGRESS_REQUEST_ROUTER_HPP

#include <optional>
#include <string_view>
#include <vector>

#include "core/error.hpp"
#include "core/ids.hpp"
#include "core/units.hpp"
#include "ingress/caller_timeouts.hpp"
#include "ingress/traffic_view.hpp"
#include "routing/weighted_split.hpp"

namespace yuccafall::ingress {

// What a request states. The views are of the request.
struct request_summary
{
    std::string_view method;
    std::string_view target;
    std::string_view body;
    // Empty if the request has no host field.
    std::optional<std::string_view> host;
    // How long the caller waits, if the request states it.
    std::optional<core::milliseconds> timeout;
    // Identifies the caller's attempt, or is empty if the request states no id.
    core::request_id id;
    core::instant arrived_at{};
};

struct call_terms
{
    core::request_id request_id;
    // The pointers are into the view by which the request was routed.
    routing::route const* route = nullptr;
    std::vector<balancing::upstream> const* upstreams = nullptr;
    core::service_name service;
    core::instant arrived_at{};
    core::instant deadline{};
    // A response by this time meets the target latency of the route.
    core::instant target_time{};
    // The call counts as one that a worker makes while it runs another request.
    bool nested = false;
};

// Returns whether the request crashes the workers that run it, as far as the
// view states it.
bool is_poisoned(traffic_view const& view, std::string_view method,
                 std::string_view target, std::string_view body);

class request_router
{
public:
    // See ingress_settings::max_nested_timeout.
    explicit request_router(core::milliseconds max_nested_timeout)
        : max_nested_timeout_(max_nested_timeout)
    {}

    // Sets the terms of the request, or returns the error to which the request
    // leads. In that case the terms that were known by then are set. The view
    // is null until the node has received one.
    core::result<void> route(request_summary const& request,
                             traffic_view const* view, call_terms& terms);

    // To be called for each new configuration.
    void reset_splits() { weighted_split_.reset(); }
    // Calls end at this time at the latest, and requests that need longer are
    // refused.
    void start_draining(core::instant calls_end_at)
    {
        calls_end_at_ = calls_end_at;
    }
    // Refuses all requests from now on.
    void stop_accepting_requests() { accepting_requests_ = false; }

private:
    core::result<void> set_deadline(request_summary const& request,
                                    core::milliseconds timeout,
                                    call_terms& terms) const;

    core::milliseconds max_nested_timeout_;
    routing::weighted_split weighted_split_;
    caller_timeouts caller_timeouts_;
    // When the last call must have its response. Empty until the node drains.
    std::optional<core::instant> calls_end_at_;
    bool accepting_requests_ = true;
};

} // namespace yuccafall::ingress

#endif
