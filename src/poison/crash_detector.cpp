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

void crash_detector::request_completed(fingerprint const& request,
                                       core::instant now)
{
    auto const found = completed_requests_.find(request);
    if (found == completed_requests_.end() &&
        completed_requests_.size() >= max_completed_requests)
    {
        // The whole map is cleared: frequent requests are soon recorded again.
        completed_requests_.clear();
    }
    completed_requests_[request] = now;
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
