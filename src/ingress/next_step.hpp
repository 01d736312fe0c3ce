// What follows an attempt that brought no answer.
#ifndef YUCCAFALL_INGRESS_NEXT_STEP_HPP
#define YUCCAFALL_INGRESS_NEXT_STEP_HPP

#include <cstdint>
#include <string>
#include <variant>

#include "core/error.hpp"
#include "core/units.hpp"
#include "routing/configuration.hpp"

namespace yuccafall::ingress {

// How an attempt ended.
struct attempt_refused
{
    core::error_kind kind;
    core::milliseconds retry_after{0};
    bool reached_worker = false;
    // The call was to be refused unless a slot was free.
    bool had_alternative = false;
};
// The worker was asked, and what it did is not known.
struct attempt_failed
{
    core::error_kind kind;
    std::string detail;
};
struct path_lost
{
    // The other node may have received the call.
    bool may_have_run = false;
    std::string reason;
};
using attempt_end = std::variant<attempt_refused, attempt_failed, path_lost>;

struct call_progress
{
    routing::repeatability kind = routing::repeatability::non_idempotent;
    core::attempt_count most_attempts{1};
    // Workers that were asked, whatever they answered.
    std::uint32_t workers_reached = 0;
    // Offers to another upstream after one that reached no worker.
    std::uint32_t redirects = 0;
    core::milliseconds remaining{0};
    // Time that an answer may take where everything is well.
    core::milliseconds usual{0};
    // The earliest return that a refusal so far has named.
    core::milliseconds retry_after{0};
};

// Results.
struct try_another
{
    // Sending it on counts against the retry budget.
    bool counts = false;
    // The upstream that refused may be chosen again, then to wait there.
    bool may_return = false;
};
struct give_up
{
    core::error_kind kind;
    core::milliseconds retry_after{0};
    std::string detail;
};
using next_step = std::variant<try_another, give_up>;

// Offers that a call which has reached no worker gets after its first refusal.
// Each costs a way there and back; one more shows whether there is room.
inline constexpr std::uint32_t most_redirects = 1;

// Offers of one call that are to be refused unless a slot is free. Each costs a
// way there and back, which is far less than a wait in a queue.
inline constexpr std::uint32_t most_offers_for_free_slot = 2;

next_step decide(call_progress const& call, attempt_end const& how);

} // namespace yuccafall::ingress

#endif
