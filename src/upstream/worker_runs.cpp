// Sends calls to the worker with what is left of their time.
#include "upstream/worker_runs.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

namespace yuccafall::upstream {

namespace {

// A worker that exceeds the timeout of a request has this long to report that
// before the connection is closed.
constexpr core::milliseconds worker_timeout_grace{300};

} // namespace

worker_runs::worker_runs(std::shared_ptr<worker_client> client,
                         metadata::header_codec header_codec,
                         std::shared_ptr<retries::local_runs> local_runs,
                         std::shared_ptr<counters> counters)
    : client_(std::move(client)), header_codec_(header_codec),
      local_runs_(std::move(local_runs)), counters_(std::move(counters))
{}

void worker_runs::start(call_entry& call, worker_client::outcome_handler done)
{
    core::add(counters_->runs);
    bool const is_repeat = call.offer.is_repeat;
    local_runs_->record_start(is_repeat);
    auto const now = core::boot_clock::now();
    call.started_at = now;
    auto const remaining = std::max(
        std::chrono::duration_cast<core::milliseconds>(call.deadline - now),
        core::milliseconds(1));
    auto message = std::move(call.offer.http_request);
    call.fingerprint =
        poison::fingerprint_of(message.method, message.target, message.body);
    header_codec_.write_worker_metadata(
        message.headers, {call.offer.upstream, remaining, call.offer.origin});
    call.run = client_->start(message, call.offer.request_id,
                              remaining + worker_timeout_grace,
                              [local_runs = local_runs_, is_repeat,
                               done = std::move(done)](worker_outcome outcome) {
                                  local_runs->record_end(is_repeat);
                                  done(std::move(outcome));
                              });
}

} // namespace yuccafall::upstream
