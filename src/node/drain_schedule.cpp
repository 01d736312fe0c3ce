// Implements the order of the steps of a drain.
#include "node/drain_schedule.hpp"

#include <algorithm>
#include <utility>

namespace yuccafall::node {

core::instant drain_schedule::calls_end_at() const
{
    return started_at_ + std::max(settings_.max_time - settings_.exit_reserve -
                                      settings_.response_reserve,
                                  core::milliseconds(0));
}

std::vector<drain_action> drain_schedule::handle(traffic_state const& state,
                                                 core::instant now)
{
    std::vector<drain_action> out;
    auto const elapsed = now - started_at_;
    if (elapsed >= settings_.worker_delay &&
        !std::exchange(worker_drains_, true))
    {
        out.emplace_back(drain_worker{});
    }
    bool const out_of_time =
        elapsed + settings_.exit_reserve >= settings_.max_time;
    bool const idle = state.requests_open == 0 && state.running == 0;
    // Requests are refused one step before the process ends, so that none is
    // taken between the last look at the state and the end.
    if (out_of_time || (idle && refuses_requests_))
    {
        out.emplace_back(end_process{});
        return out;
    }
    bool const quiet = elapsed >= settings_.min_time &&
                       now - state.last_request >= settings_.quiet_period;
    if (((idle && quiet) || now >= calls_end_at()) &&
        !std::exchange(refuses_requests_, true))
    {
        out.emplace_back(refuse_requests{});
    }
    return out;
}

} // namespace yuccafall::node
