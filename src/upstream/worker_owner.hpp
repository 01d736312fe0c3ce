// Handles the calls that all nodes offer for the local worker: the slot queue
// decides on each offer, and admitted calls are sent to the worker.
#ifndef YUCCAFALL_UPSTREAM_WORKER_OWNER_HPP
#define YUCCAFALL_UPSTREAM_WORKER_OWNER_HPP

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "admission/slot_queue.hpp"
#include "core/ids.hpp"
#include "metadata/header_codec.hpp"
#include "peers/peer_links.hpp"
#include "peers/peer_server.hpp"
#include "poison/crash_detector.hpp"
#include "upstream/counters.hpp"
#include "upstream/worker_client.hpp"

namespace yuccafall::upstream {

using peers::reply_function;
using session_id = peers::session_id;

// Describes a worker that the platform lists at the local worker's address.
struct listed_worker
{
    core::upstream_id id;
    core::slot_count slots{1};
    bool draining = false;
};

struct worker_owner_settings
{
    core::endpoint worker_endpoint;
    // This is the bandwidth of the VM's network link, or 0 if it is not known.
    core::bytes_per_second link_bandwidth{0};
    core::incarnation incarnation;
};

// This session carries the calls from this node's own callers to the local
// worker. They cross no network link.
inline constexpr session_id local_session{0};

// Invariant: the class is used on one traffic thread.
class worker_owner : public std::enable_shared_from_this<worker_owner>
{
public:
    using crash_notice_handler =
        std::function<void(poison::crash_notice const&)>;

    // The handler is called for each request that ran in the worker when the
    // worker crashed.
    worker_owner(boost::asio::io_context& context,
                 worker_owner_settings const& settings,
                 metadata::header_codec header_codec,
                 crash_notice_handler on_crash_notice,
                 std::shared_ptr<counters> counters);

    void handle(session_id from, peers::message message, reply_function reply);
    // Cancels all calls of a session whose connection has closed.
    void on_session_closed(session_id closed_session);

    void set_workers(std::vector<listed_worker> const& workers);

    // Refuses new offers from now on. Calls that already run may finish.
    void start_draining();
    std::size_t running() const { return queue_.running(); }
    void close();

    balancing::load_report load() const;

private:
    struct call_entry
    {
        session_id session;
        peers::offer offer;
        reply_function reply;
        core::instant deadline;
        poison::fingerprint fingerprint;
        std::optional<worker_run> run;
        core::instant started_at{};
        bool canceled = false;
    };
    // The worker_owner gives each offer a key of its own, so that calls stay
    // apart even if two sessions use the same call id by mistake.
    using call_key = core::call_id;

    void on(session_id from, peers::offer& offer, reply_function reply);
    void on(session_id from, peers::body_data& it);
    void on(session_id from, peers::cancel const& it);

    void apply(admission::action const& it);
    void apply(admission::request_body const& it);
    void apply(admission::start_call const& it);
    void apply(admission::refuse_call const& it);
    void handle_event(admission::event const& it);
    void set_queue_timer();

    void start_run(call_key const& id, call_entry& call);
    void on_run_ended(call_key const& id, worker_outcome outcome);
    void report_outcome(call_entry& call, worker_answered& outcome);
    void report_outcome(call_entry& call, worker_rejected& outcome);
    void report_outcome(call_entry& call, worker_unreachable& outcome);
    void report_outcome(call_entry& call, worker_failed& outcome);
    void refuse(call_entry const& call, core::error_kind kind,
                core::milliseconds retry_after, bool reached_worker);
    void cancel(call_key const& id, call_entry& call);
    void update_rejection_share(bool rejected);
    void check_for_crash(poison::fingerprint const& request);
    void send_load_reports();

    boost::asio::steady_timer queue_timer_;
    core::instant queue_timer_due_{};
    metadata::header_codec header_codec_;
    std::shared_ptr<worker_client> worker_client_;
    admission::slot_queue queue_;
    std::map<core::upstream_id, listed_worker> workers_;
    // Holds the workers whose address another worker has taken.
    std::set<core::upstream_id> replaced_workers_;
    std::map<call_key, call_entry> calls_;
    std::map<std::pair<session_id, core::call_id>, call_key> call_keys_;
    std::uint64_t last_call_key_ = 0;
    // Describes a session that has offered calls recently and therefore
    // receives load reports.
    struct load_subscriber
    {
        reply_function send;
        core::upstream_id upstream;
        core::instant last_offer;
    };
    std::map<session_id, load_subscriber> load_subscribers_;
    // This load report was sent to the subscribers last.
    balancing::load_report last_sent_load_;
    core::instant last_sent_at_{};
    boost::asio::steady_timer load_timer_;
    bool load_report_scheduled_ = false;
    poison::crash_detector crash_detector_;
    crash_notice_handler on_crash_notice_;
    // This is a moving average of the share of calls that the worker rejected,
    // from 0 to 1.
    double rejection_share_ = 0;
    core::instant unreachable_until_{};
    bool draining_ = false;
    // The local worker was listed before and is not listed any more.
    bool worker_removed_ = false;
    std::shared_ptr<counters> counters_;
};

} // namespace yuccafall::upstream

#endif
