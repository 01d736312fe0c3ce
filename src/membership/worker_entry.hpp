// What the platform publishes of one worker, in the product's words.
#ifndef YUCCAFALL_MEMBERSHIP_WORKER_ENTRY_HPP
#define YUCCAFALL_MEMBERSHIP_WORKER_ENTRY_HPP

#include "core/endpoint.hpp"
#include "core/ids.hpp"
#include "core/units.hpp"

namespace yuccafall::membership {

enum class worker_state
{
    ready,
    // Asked to leave: no new work.
    draining,
};

struct worker_entry
{
    core::upstream_id id;
    core::service_name service;
    // Of the worker itself; reached only from its own VM.
    core::endpoint address;
    core::data_centre data_centre;
    core::slot_count slots{1};
    worker_state state = worker_state::ready;
    // How much longer the worker is slow after its start, at the time of the
    // entry.
    core::milliseconds cold_for{0};
};

} // namespace yuccafall::membership

#endif
