// Decides which statements about the rate of the local worker apply. The worker
// states its rate in responses and rejections, and other nodes repeat in their
// offers what it stated earlier. No I/O.
#ifndef YUCCAFALL_UPSTREAM_RATE_STATEMENTS_HPP
#define YUCCAFALL_UPSTREAM_RATE_STATEMENTS_HPP

#include <string_view>

#include "core/ids.hpp"
#include "core/stated_rate.hpp"

namespace yuccafall::upstream {

// Where a statement about the rate of the local worker comes from.
enum class rate_source
{
    response,
    rejection,
    // Another node's offer, which repeats what the worker stated earlier.
    offer,
};

// Returns the name that log lines state.
std::string_view name_of(rate_source it);

class rate_statements
{
public:
    // Returns whether the statement about the worker's rate replaces the one in
    // use, and records it as the latest one if so.
    bool accept(core::upstream_id const& worker, core::stated_rate const& rate,
                rate_source source, core::stated_rate const& in_use);

private:
    // The worker that has stated the rate in use.
    core::upstream_id stated_by_;
};

} // namespace yuccafall::upstream

#endif
