// The node's part as owner of the worker beside it: takes offers of all nodes,
// lets the slot queue decide, and runs calls at the worker.
#ifndef YUCCAFALL_UPSTREAM_OWNER_HPP
#define YUCCAFALL_UPSTREAM_OWNER_HPP

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "admission/slot_queue.hpp"
#include "core/ids.hpp"
#include "dialect/dialect.hpp"
#include "peers/peer_links.hpp"
#include "peers/peer_server.hpp"
#include "poison/crash_watch.hpp"
#include "upstream/counters.hpp"
#include "upstream/worker_leg.hpp"

namespace yuccafall::upstream {

using peers::reply_function;
using session_id = peers::session_number;

// A worker that the platform lists at the address beside this node.
struct listed_worker
{
    core::upstream_id id;
    core::slot_count slots{1};
    bool draining = false;
};

struct owner_settings
{
    core::endpoint worker;
    // Of the VM; 0 where it is not known.
    core::bytes_per_second link{0};
    core::incarnation incarnation;
};

// Calls of the node's own callers to its own worker, which cross no link.
inline constexpr session_id own_session{0};

// Invariant: used on one traffic thread.
class owner : public std::enable_shared_from_this<owner>
{
public:
    using notice_handler = std::function<void(poison::notice const&)>;

    // The handler is told of each request that ran in the worker when it
    // crashed.
    owner(boost::asio::io_context& context, owner_settings const& settings,
          dialect::header_codec dialect, notice_handler suspects,
          std::shared_ptr<counters> counts);

    void handle(session_id from, peers::message message, reply_function reply);
    // The connection is gone: its calls are cancelled.
    void session_lost(session_id gone);

    void set_workers(std::vector<listed_worker> const& workers);

    // Refuses new offers; calls that run finish.
    void start_leaving();
    std::size_t running() const { return queue_.running(); }
    void close();

    balancing::load_report load() const;

private:
    struct entry
    {
        session_id session;
        peers::offer offer;
        reply_function reply;
        core::instant deadline;
        poison::fingerprint print;
        std::optional<worker_run> run;
        core::instant started{};
        bool canceled = false;
    };
    // Two sessions may use the same number only by mistake; each offer gets
    // one of this owner's own.
    using key = core::call_id;

    void on(session_id from, peers::offer& it, reply_function reply);
    void on(session_id from, peers::body& it);
    void on(session_id from, peers::cancel const& it);

    void act(admission::action const& it);
    void act(admission::ask_for_body const& it);
    void act(admission::start const& it);
    void act(admission::refuse const& it);
    void feed(admission::event const& it);
    void watch_time();

    void run(key const& id, entry& it);
    void ended(key const& id, worker_outcome outcome);
    void settle(entry& it, worker_answered& how);
    void settle(entry& it, worker_refused& how);
    void settle(entry& it, worker_unreachable& how);
    void settle(entry& it, worker_failed& how);
    void refuse(entry const& it, core::error_kind kind,
                core::milliseconds retry_after, bool reached_worker);
    void cancel(key const& id, entry& it);
    void observe_rejection(bool rejected);
    void run_lost(poison::fingerprint const& request);
    void tell_load();

    boost::asio::steady_timer timer_;
    core::instant timer_due_{};
    dialect::header_codec dialect_;
    std::shared_ptr<worker_leg> leg_;
    admission::slot_queue queue_;
    std::map<core::upstream_id, listed_worker> workers_;
    // Workers whose address another one has taken.
    std::set<core::upstream_id> ended_;
    std::map<key, entry> calls_;
    std::map<std::pair<session_id, core::call_id>, key> keys_;
    std::uint64_t next_key_ = 0;
    // Those that have offered calls lately.
    struct listener
    {
        reply_function tell;
        core::upstream_id upstream;
        core::instant last_offer;
    };
    std::map<session_id, listener> listeners_;
    // What the listeners were told last.
    balancing::load_report told_;
    core::instant told_at_{};
    boost::asio::steady_timer tell_timer_;
    bool telling_ = false;
    poison::crash_watch crashes_;
    notice_handler suspects_;
    // Moving share of calls that the worker turned away, 0 to 1.
    double rejecting_ = 0;
    core::instant unreachable_until_{};
    bool leaving_ = false;
    // The worker beside this node was listed and is not any more.
    bool gone_ = false;
    std::shared_ptr<counters> counts_;
};

} // namespace yuccafall::upstream

#endif
