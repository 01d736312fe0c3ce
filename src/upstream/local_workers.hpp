// The workers that the platform lists at the local worker's address, and what
// they have shown of themselves in their responses.
//
// There may be several while a new worker replaces an old one. No I/O.
#ifndef YUCCAFALL_UPSTREAM_LOCAL_WORKERS_HPP
#define YUCCAFALL_UPSTREAM_LOCAL_WORKERS_HPP

#include <map>
#include <set>
#include <vector>

#include "core/ids.hpp"
#include "core/units.hpp"
#include "membership/leaving_workers.hpp"

namespace yuccafall::upstream {

struct listed_worker
{
    core::upstream_id id;
    core::worker_start started;
    core::slot_count slots{1};
    bool draining = false;
    // The operator has asked that nothing more be sent to the workers of this
    // worker's data centre.
    bool evacuated = false;
    // How much longer the worker is cold, as its entry states it. The entry may
    // be seconds old.
    core::milliseconds cold_remaining{0};
};

class local_workers
{
public:
    void set(std::vector<listed_worker> const& workers);

    // Records that the worker has stated in a response that it leaves. Returns
    // true if the statement is new.
    bool record_leaving(core::upstream_id const& id, core::instant now);
    // Records that another worker has taken the address of this one, as a
    // response has shown. The record is kept until the list of workers changes.
    void record_replaced(core::upstream_id const& id);

    // Returns whether the worker drains by its entry or leaves by its
    // responses.
    bool leaves(core::upstream_id const& id, core::instant now) const;
    // Returns whether the worker has stated in a response that it leaves.
    // Callers' nodes are told only that: they see the entries themselves, and
    // an entry may change back.
    bool has_stated_leaving(core::upstream_id const& id,
                            core::instant now) const;
    bool is_replaced(core::upstream_id const& id) const
    {
        return replaced_.count(id) != 0;
    }
    // Returns whether no listed worker may get calls. While no worker has been
    // listed yet, the list may not have arrived, and the result is false.
    bool all_leave(core::instant now) const;
    // Returns whether the data centre of the worker is evacuated. All workers
    // at one address are in the same data centre, so an unlisted worker counts
    // as evacuated if all listed ones are.
    bool is_evacuated(core::upstream_id const& id) const;
    // Returns whether there are listed workers and all are evacuated.
    bool all_evacuated() const;
    // Returns the start of the worker, or an empty one if it is not listed.
    core::worker_start start_of(core::upstream_id const& id) const;

private:
    std::map<core::upstream_id, listed_worker> listed_;
    membership::leaving_workers leaving_;
    std::set<core::upstream_id> replaced_;
    // True if the list of workers has not been empty at some time.
    bool had_workers_ = false;
};

} // namespace yuccafall::upstream

#endif
