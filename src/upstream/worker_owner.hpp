// Handles the calls that all nodes offer to the local worker, the one beside
// this node. The slot queue decides which calls are run, and these are sent to
// the worker.
//
// An offer is the message by which the node that received a caller's request
// asks this node to run the call. A session is the connection from one such
// node. A run is the execution of one call in the worker. Draining means that
// calls that run may finish and all others are refused. The same applies while
// the data centre of the worker is evacuated.
#ifndef YUCCAFALL_UPSTREAM_WORKER_OWNER_HPP
#define YUCCAFALL_UPSTREAM_WORKER_OWNER_HPP

#include <memory>
#include <set>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "admission/slot_queue.hpp"
#include "core/ids.hpp"
#include "metadata/header_codec.hpp"
#include "peers/peer_links.hpp"
#include "peers/peer_server.hpp"
#include "retries/local_runs.hpp"
#include "transport/paced_link.hpp"
#include "upstream/call_reporter.hpp"
#include "upstream/call_table.hpp"
#include "upstream/counters.hpp"
#include "upstream/crash_monitor.hpp"
#include "upstream/load_publisher.hpp"
#include "upstream/pending_starts.hpp"
#include "upstream/rate_statements.hpp"
#include "upstream/rejection_share.hpp"
#include "upstream/worker_availability.hpp"
#include "upstream/worker_client.hpp"
#include "upstream/worker_runs.hpp"
#include "upstream/worker_warm_up.hpp"

namespace yuccafall::upstream {

struct worker_owner_settings
{
    core::endpoint worker_endpoint;
    // Bandwidth of the VM's network link, or 0 if it is not known.
    core::bytes_per_second link_bandwidth{0};
    core::byte_count max_response_body{8UL * 1024 * 1024};
    // Identifies this process in the crash notices that it sends.
    core::incarnation incarnation;
    // Counts the runs of this worker.
    std::shared_ptr<retries::local_runs> local_runs =
        std::make_shared<retries::local_runs>();
    // Counts the worker's responses while they arrive. May be null.
    std::shared_ptr<core::memory_part> response_memory;
};

// The session of calls from this node's own callers to the local worker. They
// cross no network link.
inline constexpr session_id local_session{0};

// Not thread-safe: each object is used on one thread only, the traffic thread,
// which handles requests.
class worker_owner : public std::enable_shared_from_this<worker_owner>
{
public:
    using poison_notice_handler = crash_monitor::notice_handler;

    // The handler is called for each request that was running in the worker
    // when the worker crashed, and for each suspect that has completed.
    worker_owner(boost::asio::io_context& context,
                 worker_owner_settings const& settings,
                 metadata::header_codec header_codec,
                 poison_notice_handler on_poison_notice,
                 std::shared_ptr<counters> counters,
                 std::shared_ptr<transport::paced_link> link = nullptr);

    // Handles a message of the session. The function `reply` sends messages
    // back over the session; it may be called later and more than once.
    void handle(session_id from, peers::message message, reply_function reply);
    // Cancels all calls of a session whose connection has closed.
    void on_session_closed(session_id closed_session);

    void set_workers(std::vector<listed_worker> const& workers);
    // Sets what the configuration in force states of the worker's service.
    void set_service(routing::service const& it) { warm_up_->set_service(it); }
    // Sets the requests that were running when a worker of any node crashed.
    void set_suspects(std::set<poison::fingerprint> suspects);

    // Refuses new offers from now on. Calls that already run may finish.
    void start_draining();
    // Returns the number of calls that are running in the worker.
    std::size_t running() const { return queue_.running(); }
    void close();

    balancing::load_report load() const;

private:
    void on(session_id from, peers::offer& offer, reply_function reply);
    void on(session_id from, peers::body_data& it);
    void on(session_id from, peers::cancel const& it);

    void apply(admission::action const& it);
    void apply(admission::request_body const& it);
    void apply(admission::start_call const& it);
    void apply(admission::refuse_call const& it);
    void apply(admission::call_lost const& it);
    void handle_event(admission::event const& it);
    void set_queue_timer();

    void start_run(call_key const& key);
    void on_run_ended(call_key const& key, worker_outcome outcome);
    void report_outcome(call_entry& call, worker_answered& outcome);
    void report_outcome(call_entry& call, worker_rejected& outcome);
    void report_outcome(call_entry& call, worker_unreachable& outcome);
    void report_outcome(call_entry& call, worker_failed& outcome);
    void cancel(call_key const& key, call_entry& call);
    // Refuses waiting calls and new calls with this kind from now on, and those
    // that the queue has started but that have not been sent to the worker.
    void start_refusing(core::error_kind kind);
    void refuse_pending_start(call_key const& key, core::error_kind kind);
    void record_leaving(core::upstream_id const& upstream);
    // Tells the queue whether any worker may get calls.
    void update_queue_draining();
    // Applies what the worker, or another node, states about its rate.
    void update_rate(core::upstream_id const& upstream,
                     core::stated_rate const& rate, rate_source source);
    core::duration link_backlog() const;

    boost::asio::steady_timer queue_timer_;
    // When the timer expires, or zero if it is not set.
    core::instant queue_timer_due_{};
    std::shared_ptr<worker_client> worker_client_;
    worker_runs runs_;
    admission::slot_queue queue_;
    std::shared_ptr<worker_warm_up> warm_up_;
    worker_availability availability_;
    call_table calls_;
    // Invariant: each of these calls is in calls_, has no run, and holds a slot
    // of queue_.
    std::shared_ptr<pending_starts> pending_starts_;
    std::shared_ptr<load_publisher> load_publisher_;
    std::shared_ptr<crash_monitor> crash_monitor_;
    rate_statements rate_statements_;
    rejection_share rejection_share_;
    call_reporter reporter_;
    std::shared_ptr<counters> counters_;
    // Paces the long responses of this VM. Null if its bandwidth is not known.
    std::shared_ptr<transport::paced_link> link_;
};

} // namespace yuccafall::upstream

#endif
