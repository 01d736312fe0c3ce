// Decides whether a node that is about to end takes a request of a caller.
#ifndef YUCCAFALL_INGRESS_DRAIN_ADMISSION_HPP
#define YUCCAFALL_INGRESS_DRAIN_ADMISSION_HPP

#include <optional>

#include "core/units.hpp"

namespace yuccafall::ingress {

// Returns the deadline that the call gets, which is not after `calls_end_at`,
// or nothing if the request must be refused.
//
// A request whose caller waits beyond the end of the node is taken only if the
// time that is left is a multiple of the target latency of its route. The
// worker is told how much time is left, so that it responds in time, be it with
// a timeout.
std::optional<core::instant>
deadline_while_draining(core::instant now, core::instant deadline,
                        core::milliseconds target_latency,
                        core::instant calls_end_at);

} // namespace yuccafall::ingress

#endif
