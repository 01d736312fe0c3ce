// An entry is the record in the platform's store that announces one worker.
// This type holds a decoded entry.
#ifndef YUCCAFALL_MEMBERSHIP_WORKER_ENTRY_HPP
#define YUCCAFALL_MEMBERSHIP_WORKER_ENTRY_HPP

#include "core/endpoint.hpp"
#include "core/ids.hpp"
#include "core/units.hpp"

namespace yuccafall::membership {

enum class worker_state
{
    ready,
    // The worker shuts down: it finishes its requests and gets no new ones.
    draining,
};

struct worker_entry
{
    core::upstream_id id;
    core::worker_start started;
    core::service_name service;
    // The address on which the worker itself listens. It is reachable only from
    // the worker's own VM.
    core::endpoint address;
    core::data_centre data_centre;
    // How many requests the worker runs at the same time.
    core::slot_count slots{1};
    worker_state state = worker_state::ready;
    // How much longer the worker is slow because it has just started, counted
    // from the time at which the entry was written.
    core::milliseconds warm_up_remaining{0};
};

} // namespace yuccafall::membership

#endif
