// Decides whether a call gets another attempt after one that brought no
// response.
//
// An offer is the message by which the node asks the node beside a worker to
// run the call. An attempt is one such offer and what follows from it. It
// reached the worker if the other node sent the call to the worker.
#ifndef YUCCAFALL_INGRESS_NEXT_STEP_HPP
#define YUCCAFALL_INGRESS_NEXT_STEP_HPP

#include <cstdint>
#include <string>
#include <variant>

#include "core/error.hpp"
#include "core/units.hpp"
#include "routing/configuration.hpp"

namespace yuccafall::ingress {

// The call was refused by the other node or by the worker, and it did not run.
struct attempt_refused
{
    core::error_kind kind;
    core::milliseconds retry_after{0};
    bool reached_worker = false;
    // The offer asked the other node to refuse the call unless a slot was free,
    // because another worker was believed to have a free slot.
    bool required_free_slot = false;
};
// The call was sent to the worker but brought no valid response. It is not
// known whether the call ran.
struct attempt_failed
{
    core::error_kind kind;
    std::string detail;
};
// The connection to the other node was lost or could not be opened.
struct connection_lost
{
    // True if the other node may have received the call with its body.
    bool may_have_run = false;
    std::string reason;
};
// How an attempt ended that brought no response.
using attempt_result =
    std::variant<attempt_refused, attempt_failed, connection_lost>;

struct call_progress
{
    routing::repeatability repeatability =
        routing::repeatability::non_idempotent;
    // Maximum number of attempts that reach a worker.
    core::attempt_count max_attempts{1};
    // Number of attempts that reached a worker, whatever its response, and of
    // those that may have reached it before the connection was lost.
    std::uint32_t workers_reached = 0;
    // Number of attempts that were made because the one before reached no
    // worker. Those after the refusal of an offer that required a free slot, or
    // by a worker whose data centre is evacuated, do not count.
    std::uint32_t redirects = 0;
    // Time until the deadline.
    core::milliseconds remaining{0};
    // Usual time from an offer to the response.
    core::milliseconds expected_duration{0};
    // Shortest retry delay that a refusal of the call has stated, or 0 if none
    // has.
    core::milliseconds retry_after{0};
};

// The call is to be offered again, to another upstream if possible.
struct try_another
{
    // The attempt counts against the retry budget.
    bool uses_retry_budget = false;
    // The upstream that refused may be chosen again. If it gets an offer that
    // does not require a free slot, the call may wait in its queue.
    bool may_reselect_upstream = false;
    // The data centre of the upstream that refused is evacuated. None of its
    // workers may be chosen, so the number of such attempts is at most that of
    // the data centres, and they do not count as redirects.
    bool avoid_data_centre = false;
};
// The caller is to be sent an error response.
struct give_up
{
    core::error_kind kind;
    core::milliseconds retry_after{0};
    std::string detail;
};
using next_step = std::variant<try_another, give_up>;

// Maximum of call_progress::redirects for one call. Each offer costs a round
// trip, and one more offer is enough to show whether another worker has room.
inline constexpr std::uint32_t max_redirects = 1;

// Maximum number of offers of one call that require a free slot. Each offer
// costs a round trip, which is far shorter than a wait in a queue.
inline constexpr std::uint32_t max_offers_for_free_slot = 2;

next_step decide_next_step(call_progress const& progress,
                           attempt_result const& result);

// The attempt stays open.
struct keep_waiting
{};
using unresponsive_node_step = std::variant<keep_waiting, try_another>;

// Decides about an open attempt at a node that has become unresponsive.
// `may_have_run` is true if the node may have received the call with its body.
// The attempt stays open if the call cannot be offered again, because the node
// may only be slow. The next step counts this attempt as one that failed.
unresponsive_node_step
decide_on_unresponsive_node(call_progress const& progress, bool may_have_run);

} // namespace yuccafall::ingress

#endif
