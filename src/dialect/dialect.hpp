// What a platform adds to HTTP, as functions that its adapter provides: how a
// caller names its attempt and its patience, what a worker needs to be told
// and what it tells.
#ifndef YUCCAFALL_DIALECT_DIALECT_HPP
#define YUCCAFALL_DIALECT_DIALECT_HPP

#include <optional>

#include "admission/slot_queue.hpp"
#include "core/ids.hpp"
#include "core/units.hpp"
#include "http/message.hpp"

namespace yuccafall::dialect {

// Of a request as its caller sent it.
struct caller_marks
{
    std::optional<core::request_id> request;
    // How long the caller will wait.
    std::optional<core::milliseconds> patience;
};

// For the worker that is to run the request.
struct worker_marks
{
    // Any other worker is to turn the request away.
    core::upstream_id expected;
    core::milliseconds remaining{0};
    // The service beside the node where the request began.
    core::service_name origin;
};

// Of a worker's answer.
struct answer_marks
{
    // The worker states that it did not run the request.
    bool not_run = false;
    // Another worker has taken the address.
    bool wrong_worker = false;
    // The worker vouches for the answer.
    bool attested = false;
    std::optional<core::request_id> request;
    std::optional<admission::worker_load> load;
    // How long the worker keeps the connection open without a request.
    std::optional<core::milliseconds> keep_alive;
};

struct functions
{
    caller_marks (*read_caller)(http::header_list const& headers);
    void (*mark_for_worker)(http::header_list& headers,
                            worker_marks const& marks);
    answer_marks (*read_answer)(http::response const& answer);
};

} // namespace yuccafall::dialect

#endif
