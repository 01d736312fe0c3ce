// Builds the load report of the local worker, the one beside this node.
#ifndef YUCCAFALL_UPSTREAM_LOAD_REPORT_HPP
#define YUCCAFALL_UPSTREAM_LOAD_REPORT_HPP

#include "admission/slot_queue.hpp"
#include "balancing/load_report.hpp"
#include "core/units.hpp"

namespace yuccafall::upstream {

// Returns the load of the worker whose calls are in the queue. `link_backlog`
// is the time that the link of the VM needs for what is being sent over it, and
// `rejection_share` the share of the calls that the worker turns away.
balancing::load_report make_load_report(admission::slot_queue const& queue,
                                        core::duration link_backlog,
                                        core::percentage rejection_share,
                                        core::instant now);

} // namespace yuccafall::upstream

#endif
