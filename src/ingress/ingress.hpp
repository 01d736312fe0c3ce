// The callers' side of a node: takes requests, finds their route and sends
// each to an upstream.
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
    // Of this node's worker: origin of the calls that come here.
    core::service_name service;
    core::data_centre data_centre;
    core::endpoint callers;
    // Of requests that are in memory at a time.
    core::byte_count held_requests{48UL * 1024 * 1024};
    retries::budget_settings budget;
    // Routes with a time limit up to this are taken to serve requests that
    // workers run: nothing else tells a worker's calls from those of callers.
    core::milliseconds nested_limit{700};
    std::uint64_t seed = 0;
};

class call;

// Invariant: used on one traffic thread.
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

    // Answers end their connections from now on; requests are still served.
    void start_leaving();
    // New requests are refused from now on, so that those taken so far can end
    // before the process does.
    void stop_taking() { taking_ = false; }
    std::size_t requests_open() const { return server_->requests_open(); }
    core::instant last_request() const { return server_->last_request(); }
    void stop() { server_->stop(); }

private:
    friend class call;

    http::response refusal(core::error const& why,
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
    caller_patience patience_;
    core::random_source random_;
    core::incarnation const incarnation_;
    std::uint64_t last_call_ = 0;
    bool taking_ = true;
};

} // namespace yuccafall::ingress

#endif
