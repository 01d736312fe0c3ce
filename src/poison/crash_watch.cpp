// Gathers the runs of one crash.
#include "poison/crash_watch.hpp"

#include <algorithm>
#include <utility>

namespace yuccafall::poison {

bool crash_watch::run_lost(fingerprint const& request, core::instant now)
{
    lost_.erase(std::remove_if(
                    lost_.begin(), lost_.end(),
                    [&](auto const& it) { return now - it.when > together; }),
                lost_.end());
    lost_.push_back({request, now});
    return !std::exchange(asking_, true);
}

void crash_watch::reached()
{
    asking_ = false;
    lost_.clear();
}

void crash_watch::run_completed(fingerprint const& request, core::instant now)
{
    auto const found = completed_.find(request);
    if (found == completed_.end() && completed_.size() >= most_completed)
    {
        // Those that come often are soon known again.
        completed_.clear();
    }
    completed_[request] = now;
}

bool crash_watch::is_cleared(fingerprint const& request,
                             core::instant now) const
{
    auto const found = completed_.find(request);
    return found != completed_.end() && now - found->second < clears_for;
}

std::vector<notice> crash_watch::unreachable(core::instant now)
{
    asking_ = false;
    std::vector<notice> out;
    if (lost_.empty())
    {
        return out;
    }
    crash_id const crash{node_, ++crashes_};
    for (auto const& it : std::exchange(lost_, {}))
    {
        if (!is_cleared(it.request, now))
        {
            out.push_back({it.request, crash});
        }
    }
    return out;
}

} // namespace yuccafall::poison
