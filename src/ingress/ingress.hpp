// Accepts the requests of callers, finds the route of each request and offers
// it to an upstream.
#ifndef YUCCAFALL_INGRESS_INGRESS_HPP
#define YUCCAFALL_INGRESS_INGRESS_HPP

#include <functional>
#include <memory>

#include <boost/asio/io_context.hpp>

#include "balancing/upstream_scores.hpp"
#include "core/random.hpp"
#include "dialect/dialect.hpp"
#include "http/server.hpp"
#include "ingress/caller_patience.hpp"
#include "ingress/counters.hpp"
#include "ingress/traffic_view.hpp"
#include "peers/peer_links.hpp"
#include "retries/retry_budget.hpp"
#include "routing/weighted_split.hpp"

namespace yuccafall::ingress {

struct ingress_settings
{
    // The service of the local worker. The node sends it to the upstream as the
    // origin of every call.
    core::service_name service;
    core::data_centre data_centre;
    core::endpoint listen_endpoint;
    // Limits the memory that all buffered requests take together.
    core::byte_count request_memory_limit{48UL * 1024 * 1024};
    retries::budget_settings retry_budget;
    // Calls on a route with a timeout up to this one count as nested calls,
    // that is, calls that a worker makes for a request that it runs. Nothing
    // else tells a worker's calls from those of other callers.
    core::milliseconds max_nested_timeout{700};
    std::uint64_t seed = 0;
};

class call;

// Invariant: the class is used on one traffic thread.
class ingress : public std::enable_shared_from_this<ingress>
{
public:
    ingress(boost::asio::io_context& context, ingress_settings settings,
            dialect::header_codec dialect,
            std::shared_ptr<peers::peer_links> links,
            std::shared_ptr<counters> counts);

    core::result<void> listen();
    core::endpoint local() const { return server_->local(); }

    void set_view(std::shared_ptr<traffic_view const> view);

    // From now on every response closes its connection. New requests are still
    // served.
    void start_draining();
    // Refuses new requests from now on, so that the accepted ones can finish
    // before the process exits.
    void stop_accepting() { accepting_ = false; }
    std::size_t requests_open() const { return server_->requests_open(); }
    core::instant last_request() const
    {
        return server_->last_request_received_at();
    }
    void stop() { server_->stop(); }

private:
    friend class call;

    http::response error_response(core::error const& why,
                                  core::milliseconds retry_after) const;

    boost::asio::io_context& context_;
    ingress_settings settings_;
    dialect::header_codec dialect_;
    std::shared_ptr<peers::peer_links> links_;
    std::shared_ptr<counters> counts_;
    std::shared_ptr<http::server> server_;
    std::shared_ptr<traffic_view const> view_;
    balancing::upstream_scores scores_;
    retries::retry_budget budget_;
    routing::weighted_split split_;
    caller_timeouts caller_timeouts_;
    core::random_source random_;
    core::incarnation const incarnation_;
    std::uint64_t last_call_number_ = 0;
    bool accepting_ = true;
};

} // namespace yuccafall::ingress

#endif
