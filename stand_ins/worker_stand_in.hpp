// Stands in for an application worker, by the platform's published protocol:
// slots, a short queue, its load in each answer, refusals that it states, and
// faults.
#ifndef YUCCAFALL_STAND_INS_WORKER_STAND_IN_HPP
#define YUCCAFALL_STAND_INS_WORKER_STAND_IN_HPP

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "http/server.hpp"
#include "stand_ins/service_thread.hpp"

namespace yuccafall::stand_ins {

struct worker_terms
{
    std::string id;
    std::string service;
    std::size_t slots = 6;
    core::milliseconds work{10};
};

enum class worker_fault
{
    none,
    // Runs requests and closes without an answer.
    loses_answers,
    // Answers with a body that is shorter than its length.
    cuts_answers,
    // Turns requests away although it has slots.
    rejects,
    // Ends with each request whose target holds "crash".
    crashes,
};

struct worker_counts
{
    // By the caller's id of the request.
    std::map<std::string, int> runs;
    std::set<std::string> origins;
    std::uint64_t arrivals = 0;
    std::uint64_t rejected = 0;
    // Most requests that ran at the same time.
    std::size_t most_running = 0;
    std::uint64_t canceled = 0;
};

class worker_stand_in
{
public:
    worker_stand_in(core::endpoint const& at, worker_terms terms);
    ~worker_stand_in();

    core::endpoint local() const { return local_; }
    worker_terms const& terms() const { return terms_; }
    void set_fault(worker_fault it);
    // Ends all connections and takes no more, or takes them again.
    void crash();
    void restart();
    worker_counts counts();

private:
    using connection = std::shared_ptr<http::server_connection>;

    void listen();
    void handle(connection const& caller, http::request const& it);
    void finish(connection const& caller, std::string const& id);
    http::response refusal(int status) const;
    std::string load() const;

    worker_terms terms_;
    service_thread thread_;
    core::endpoint local_;
    // Below: used on the thread.
    std::shared_ptr<http::server> server_;
    worker_fault fault_ = worker_fault::none;
    worker_counts counts_;
    std::size_t running_ = 0;
};

} // namespace yuccafall::stand_ins

#endif
