// Implements what is known of the workers at the local address.
#include "upstream/local_workers.hpp"

#include <algorithm>

namespace yuccafall::upstream {

void local_workers::set(std::vector<listed_worker> const& workers)
{
    had_workers_ = had_workers_ || !workers.empty();
    listed_.clear();
    replaced_.clear();
    for (auto const& it : workers)
    {
        listed_.emplace(it.id, it);
    }
}

bool local_workers::record_leaving(core::upstream_id const& id,
                                   core::instant now)
{
    return leaving_.record(id, start_of(id), now);
}

void local_workers::record_replaced(core::upstream_id const& id)
{
    replaced_.insert(id);
}

bool local_workers::leaves(core::upstream_id const& id, core::instant now) const
{
    auto const listed = listed_.find(id);
    return (listed != listed_.end() && listed->second.draining) ||
           has_stated_leaving(id, now);
}

bool local_workers::has_stated_leaving(core::upstream_id const& id,
                                       core::instant now) const
{
    return leaving_.contains(id, start_of(id), now);
}

bool local_workers::all_leave(core::instant now) const
{
    return had_workers_ &&
           std::all_of(listed_.begin(), listed_.end(),
                       [&](auto const& it) { return leaves(it.first, now); });
}

bool local_workers::is_evacuated(core::upstream_id const& id) const
{
    auto const listed = listed_.find(id);
    return listed != listed_.end() ? listed->second.evacuated : all_evacuated();
}

bool local_workers::all_evacuated() const
{
    return !listed_.empty() &&
           std::all_of(listed_.begin(), listed_.end(),
                       [](auto const& it) { return it.second.evacuated; });
}

core::worker_start local_workers::start_of(core::upstream_id const& id) const
{
    auto const listed = listed_.find(id);
    return listed == listed_.end() ? core::worker_start()
                                   : listed->second.started;
}

} // namespace yuccafall::upstream
