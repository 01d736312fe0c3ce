// Records the statements and drops those that have expired.
#include "membership/leaving_workers.hpp"

namespace yuccafall::membership {

bool leaving_workers::record(core::upstream_id const& id,
                             core::worker_start started, core::instant now)
{
    for (auto it = statements_.begin(); it != statements_.end();)
    {
        it = it->second.expires_at <= now ? statements_.erase(it)
                                          : std::next(it);
    }
    bool const is_new = !contains(id, started, now);
    statements_[id] = {started, now + retention};
    return is_new;
}

bool leaving_workers::contains(core::upstream_id const& id,
                               core::worker_start started,
                               core::instant now) const
{
    auto const found = statements_.find(id);
    return found != statements_.end() && found->second.started == started &&
           now < found->second.expires_at;
}

} // namespace yuccafall::membership
