// Decides whether a call gets another attempt after one that brought no answer.
#ifndef YUCCAFALL_INGRESS_NEXT_STEP_HPP
#define YUCCAFALL_INGRESS_NEXT_STEP_HPP

#include <cstdint>
#include <string>
#include <variant>

#include "core/error.hpp"
#include "core/units.hpp"
#include "routing/configuration.hpp"

namespace yuccafall::ingress {

// An attempt ended without an answer because the call was refused, and it did
// not run.
struct attempt_refused
{
    core::error_kind kind;
    core::milliseconds retry_after{0};
    bool reached_worker = false;
    // The offer asked the other node to refuse the call unless a slot was free.
    bool had_alternative = false;
};
// An attempt failed after the call was sent to the worker, and it is not known
// whether the call ran.
struct attempt_failed
{
    core::error_kind kind;
    std::string detail;
};
// An attempt ended because the connection to the other node was lost or could
// not be opened.
struct connection_lost
{
    // The other node may have received the whole call.
    bool may_have_run = false;
    std::string reason;
};
using attempt_result =
    std::variant<attempt_refused, attempt_failed, connection_lost>;

struct call_progress
{
    routing::repeatability kind = routing::repeatability::non_idempotent;
    core::attempt_count max_attempts{1};
    // Counts the workers that the call was sent to, whatever they answered.
    std::uint32_t workers_reached = 0;
    // Counts the offers to another upstream after one that reached no worker.
    std::uint32_t redirects = 0;
    core::milliseconds remaining{0};
    // An answer takes about this long under normal conditions.
    core::milliseconds expected_duration{0};
    // This is the shortest retry delay that a refusal of this call has stated.
    core::milliseconds retry_after{0};
};

// The call is to be offered to an upstream again.
struct try_another
{
    // The attempt counts against the retry budget.
    bool uses_retry_budget = false;
    // The upstream that refused may be chosen again, and the call then waits in
    // its queue.
    bool may_reselect_upstream = false;
};
// The caller is to be answered with an error.
struct give_up
{
    core::error_kind kind;
    core::milliseconds retry_after{0};
    std::string detail;
};
using next_step = std::variant<try_another, give_up>;

// Limits the further offers of a call that has reached no worker after its
// first refusal. Each offer costs a round trip, and one more is enough to show
// whether another worker has room.
inline constexpr std::uint32_t max_redirects = 1;

// Limits the offers of one call that the other node refuses unless a slot is
// free. Each offer costs a round trip, which is far shorter than a wait in a
// queue.
inline constexpr std::uint32_t max_offers_for_free_slot = 2;

next_step decide_next_step(call_progress const& progress,
                           attempt_result const& result);

} // namespace yuccafall::ingress

#endif
