// A fake application worker. It implements the platform's published protocol:
// it has slots, states its load in each response and states when it has
// rejected a request. It also simulates faults.
#ifndef YUCCAFALL_STAND_INS_FAKE_WORKER_HPP
#define YUCCAFALL_STAND_INS_FAKE_WORKER_HPP

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <boost/asio/steady_timer.hpp>

#include "http/server.hpp"
#include "stand_ins/io_context_thread.hpp"

namespace yuccafall::stand_ins {

struct worker_options
{
    std::string id;
    std::string service;
    // The maximum number of requests that the worker runs at the same time.
    std::size_t slots = 6;
    // How long the worker runs each request.
    core::milliseconds service_time{10};
    // How long the worker is cold after it starts.
    core::milliseconds cold_time{0};
    // The worker crashes if it gets more requests than this in any one second
    // while it is cold, and returns after 2 s. 0 means that it does not crash.
    std::size_t max_cold_arrivals = 0;
};

enum class worker_fault
{
    none,
    // The worker runs requests, but closes their connections without a
    // response.
    drops_responses,
    // The worker's responses have a content encoding that was not requested, so
    // that the response of a request that has run is invalid.
    adds_content_encoding,
    // The worker rejects requests although it has free slots.
    rejects_requests,
    // The worker runs requests, but malforms its responses, by turns in their
    // status, the name of a field, a folded value, the coding and the length.
    malforms_responses,
    // The worker crashes when a request arrives whose target contains "crash".
    crashes,
};

// A time in which the worker has one limit.
struct limit_episode
{
    double per_second = 0;
    // When the first response that a node can pass on stated it. Empty if none
    // has: the worker may get no requests, or drop its responses.
    std::optional<core::instant> stated_at;
    // When each request arrived that was not meant for another worker.
    std::vector<core::instant> arrivals;
};

struct worker_counts
{
    // The number of runs of each request, by the id that the caller gave it.
    std::map<std::string, int> runs;
    std::set<std::string> caller_services;
    std::uint64_t arrivals = 0;
    std::uint64_t rejected = 0;
    // The maximum number of requests that ran at the same time.
    std::size_t max_running = 0;
    std::uint64_t canceled = 0;
    std::vector<limit_episode> limits;
    std::uint64_t health_requests = 0;
    // Requests that arrived while the worker was cold, and the largest number
    // of them in any one second. Those meant for another worker do not count.
    std::uint64_t cold_arrivals = 0;
    std::size_t most_cold_arrivals_in_a_second = 0;
    // Crashes because of too many of them.
    std::uint64_t cold_crashes = 0;
};

// The target of a request may end in "size=N", which asks for a response whose
// body has N bytes.
class fake_worker
{
public:
    fake_worker(core::endpoint const& at, worker_options options);
    ~fake_worker();

    core::endpoint local() const { return local_; }
    worker_options const& options() const { return options_; }
    void set_fault(worker_fault fault);
    // The worker states this number of requests a second in all its responses.
    // An empty text ends that. The worker itself does not keep to it.
    void set_rate_limit(std::string per_second);
    // The worker states in all its responses that it leaves.
    void set_leaving(bool leaving);
    // Closes all connections and accepts no more until restart() is called.
    void crash();
    // The worker is cold after that for the time of its options, or the time
    // that was set since.
    void restart();
    void set_cold_time(core::milliseconds cold_time);
    // The worker is cold for this time from now on, without a crash. No event
    // shows it.
    void become_cold(core::milliseconds cold_time);
    worker_counts counts();

private:
    using connection = std::shared_ptr<http::server_connection>;

    void listen();
    // Closes the port and all connections.
    void stop_serving();
    void crash_while_cold();
    void handle(connection const& caller, http::request const& it);
    bool is_cold() const { return core::boot_clock::now() < cold_until_; }
    void record_cold_arrival();
    http::response make_health_response();
    void malform(http::response& it);
    void finish_request(connection const& caller, std::string const& id,
                        std::size_t body_size);
    // The id is that of the request that is rejected, or empty.
    http::response make_rejection(int status, std::string const& id = {});
    void add_statements(http::response& to);
    // Records that a response states the limit which a node can pass on. One to
    // a health request, or a malformed one, is not passed on.
    void record_limit_stated();
    // Returns the numbers of running requests, waiting requests and slots, and
    // the service time in percent of the usual one.
    std::string load_header() const;

    worker_options options_;
    io_context_thread thread_;
    core::endpoint local_;
    // Invariant: all members that follow are used only on the thread of
    // thread_.
    std::shared_ptr<http::server> server_;
    worker_fault fault_ = worker_fault::none;
    std::string rate_limit_;
    bool leaving_ = false;
    worker_counts counts_;
    std::size_t malformed_responses_ = 0;
    std::size_t running_ = 0;
    core::instant cold_until_{};
    // When requests arrived in the last second, while the worker was cold.
    std::deque<core::instant> last_cold_arrivals_;
    // Set while the worker is away after a crash while it was cold.
    std::optional<boost::asio::steady_timer> return_timer_;
};

} // namespace yuccafall::stand_ins

#endif
