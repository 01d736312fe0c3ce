// Remembers the workers that have stated in a response that they leave. Such a
// statement may come before the worker's entry in the platform's store changes,
// and the store may be down.
#ifndef YUCCAFALL_MEMBERSHIP_LEAVING_WORKERS_HPP
#define YUCCAFALL_MEMBERSHIP_LEAVING_WORKERS_HPP

#include <map>

#include "core/ids.hpp"
#include "core/units.hpp"

namespace yuccafall::membership {

class leaving_workers
{
public:
    // Returns true if the statement is new.
    bool record(core::upstream_id const& id, core::worker_start started,
                core::instant now);
    // Returns whether the worker leaves. A worker that has started again under
    // the same id does not.
    bool contains(core::upstream_id const& id, core::worker_start started,
                  core::instant now) const;

private:
    // A worker that leaves has ended by then. The limit bounds the memory.
    static constexpr core::milliseconds retention{300'000};

    struct statement
    {
        core::worker_start started;
        core::instant expires_at;
    };
    std::map<core::upstream_id, statement> statements_;
};

} // namespace yuccafall::membership

#endif
