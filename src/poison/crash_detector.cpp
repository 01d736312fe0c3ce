// Collects the requests that were interrupted by the same crash.
#include "poison/crash_detector.hpp"

#include <algorithm>
#include <utility>

namespace yuccafall::poison {

bool crash_detector::request_interrupted(fingerprint const& request,
                                         core::instant now)
{
    interrupted_.erase(std::remove_if(interrupted_.begin(), interrupted_.end(),
                                      [&](auto const& it) {
                                          return now - it.interrupted_at >
                                                 crash_window;
                                      }),
                       interrupted_.end());
    interrupted_.push_back({request, now});
    return !std::exchange(probe_pending_, true);
}

void crash_detector::probe_succeeded()
{
    probe_pending_ = false;
    interrupted_.clear();
}

std::optional<completion_notice>
crash_detector::request_completed(fingerprint const& request, core::instant now)
{
    auto const found = completed_requests_.find(request);
    if (found == completed_requests_.end() &&
        completed_requests_.size() >= max_completed_requests)
    {
        // The whole map is cleared: frequent requests are soon recorded again.
        completed_requests_.clear();
    }
    completed_requests_[request] = now;
    if (suspects_.erase(request) == 0)
    {
        return std::nullopt;
    }
    return completion_notice{request, suspect_list::cleared_ttl};
}

std::vector<completion_notice>
crash_detector::set_suspects(std::set<fingerprint> suspects, core::instant now)
{
    std::vector<completion_notice> out;
    for (auto const& request : suspects)
    {
        auto const found = completed_requests_.find(request);
        if (suspects_.count(request) != 0 || found == completed_requests_.end())
        {
            continue;
        }
        auto const remaining = std::chrono::duration_cast<core::milliseconds>(
            found->second + completed_request_ttl - now);
        if (remaining.count() > 0)
        {
            out.push_back({request, remaining});
        }
    }
    suspects_ = std::move(suspects);
    return out;
}

bool crash_detector::completed_recently(fingerprint const& request,
                                        core::instant now) const
{
    auto const found = completed_requests_.find(request);
    return found != completed_requests_.end() &&
           now - found->second < completed_request_ttl;
}

std::vector<crash_notice> crash_detector::probe_failed(core::instant now)
{
    probe_pending_ = false;
    std::vector<crash_notice> out;
    if (interrupted_.empty())
    {
        return out;
    }
    crash_id const crash{node_, ++crash_count_};
    for (auto const& it : std::exchange(interrupted_, {}))
    {
        if (!completed_recently(it.request, now))
        {
            out.push_back({it.request, crash});
        }
    }
    return out;
}

} // namespace yuccafall::poison
