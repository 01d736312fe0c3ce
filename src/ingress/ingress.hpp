// Accepts the requests of callers, finds the route of each request and offers
// it to an upstream. All of this runs on the traffic thread, which handles
// requests and the calls to the local worker. The control thread receives the
// configuration and publishes it to the traffic thread.
//
// An offer is the message by which this node asks the node beside a worker to
// run a call. The local worker is the one beside this node.
#ifndef YUCCAFALL_INGRESS_INGRESS_HPP
#define YUCCAFALL_INGRESS_INGRESS_HPP

#include <functional>
#include <memory>
#include <set>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "balancing/upstream_scores.hpp"
#include "core/memory_part.hpp"
#include "core/random.hpp"
#include "http/server.hpp"
#include "ingress/counters.hpp"
#include "ingress/request_router.hpp"
#include "ingress/traffic_view.hpp"
#include "metadata/header_codec.hpp"
#include "peers/peer_links.hpp"
#include "retries/local_runs.hpp"
#include "retries/retry_budget.hpp"

namespace yuccafall::ingress {

struct ingress_settings
{
    // The service of the local worker. Every offer names it as the origin of
    // the call.
    core::service_name service;
    core::data_centre data_centre;
    core::endpoint listen_endpoint;
    // Where other nodes offer calls to the worker beside this node.
    core::endpoint own_node;
    // Count the memory of requests, and of responses until they are written.
    std::shared_ptr<core::memory_part> request_memory =
        std::make_shared<core::memory_part>(
            core::byte_count(48UL * 1024 * 1024));
    std::shared_ptr<core::memory_part> response_memory =
        std::make_shared<core::memory_part>(
            core::byte_count(64UL * 1024 * 1024));
    core::connection_count max_connections{2'000};
    // See http::server_settings.
    core::bytes_per_second min_transfer_rate{1'000};
    core::milliseconds transfer_window{30'000};
    retries::budget_settings retry_budget;
    // The runs of the local worker, which makes the nested calls.
    std::shared_ptr<retries::local_runs const> local_runs =
        std::make_shared<retries::local_runs>();
    // Calls with a timeout up to this one count as nested calls, which a worker
    // makes while it runs another request, until the node has seen callers with
    // other timeouts.
    core::milliseconds max_nested_timeout{700};
    // Seed of the random numbers for the choice of upstreams.
    std::uint64_t seed = 0;
};

class call;

// Not thread-safe: each object is used on the traffic thread only.
class ingress : public std::enable_shared_from_this<ingress>
{
public:
    ingress(boost::asio::io_context& context, ingress_settings settings,
            metadata::header_codec header_codec,
            std::shared_ptr<peers::peer_links> links,
            std::shared_ptr<counters> counters,
            std::shared_ptr<transport::paced_link> link = nullptr);

    core::result<void> listen();
    core::endpoint local() const { return server_->local(); }

    // Sets the view that calls use from now on. Open calls keep their view.
    void set_view(std::shared_ptr<traffic_view const> view);

    // From now on the connection of a caller is closed after its next response.
    // Open calls end at `calls_end_at` at the latest, and new requests that
    // need longer are refused.
    void start_draining(core::instant calls_end_at);
    // Refuses new requests from now on, so that the accepted ones can finish
    // before the process exits.
    void stop_accepting_requests() { router_.stop_accepting_requests(); }
    std::size_t requests_open() const { return server_->requests_open(); }
    // Returns when the most recent request was received.
    core::instant last_request() const
    {
        return server_->last_request_received_at();
    }
    void stop()
    {
        server_->stop();
        move_timer_.cancel();
    }

private:
    friend class call;

    void on_contact_changed(core::endpoint const& node,
                            peers::node_contact contact);
    void eject_workers_beside(core::endpoint const& node);
    // Moves calls after the delay, unless that is scheduled already.
    void schedule_move(core::milliseconds delay);
    // Offers open calls at unresponsive nodes to other workers, as far as the
    // retry budget allows, and does so again while there are such nodes.
    void move_calls_from_unresponsive_nodes();
    // Returns the response that reports the error to the caller.
    http::response error_response(core::error const& why,
                                  core::milliseconds retry_after) const;

    boost::asio::io_context& context_;
    ingress_settings settings_;
    metadata::header_codec header_codec_;
    std::shared_ptr<peers::peer_links> links_;
    std::shared_ptr<counters> counters_;
    // Paces long responses to callers. May be null.
    std::shared_ptr<transport::paced_link> link_;
    std::shared_ptr<http::server> server_;
    std::shared_ptr<traffic_view const> view_;
    balancing::upstream_scores upstream_scores_;
    retries::retry_budget retry_budget_;
    request_router router_;
    core::random_source random_;
    // Runs while a node is unresponsive.
    boost::asio::steady_timer move_timer_;
    bool move_scheduled_ = false;
    // Distinguishes the call ids of this process from those of other ones.
    core::incarnation const incarnation_;
    std::uint64_t last_call_number_ = 0;
    // Calls that have not ended. A call removes itself when it ends.
    std::set<call*> open_calls_;
};

} // namespace yuccafall::ingress

#endif
