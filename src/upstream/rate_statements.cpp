// Implements the rules for statements about the worker's rate.
#include "upstream/rate_statements.hpp"

namespace yuccafall::upstream {

namespace {

// Returns whether a statement about a worker's rate replaces the one in use.
// `is_known` states whether the worker has told its rate to this process.
bool may_apply(core::stated_rate const& rate, rate_source source, bool is_known)
{
    switch (source)
    {
    case rate_source::response:
        return !std::holds_alternative<core::rate_unknown>(rate);
    case rate_source::rejection:
        // Only the response to a call that has run ends a limit, since a
        // rejection may come from a part of the worker that states none.
        return core::limit_of(rate).has_value();
    case rate_source::offer:
        // Other nodes repeat what the worker stated to an earlier process.
        return core::limit_of(rate).has_value() && !is_known;
    }
    return false;
}

} // namespace

std::string_view name_of(rate_source it)
{
    switch (it)
    {
    case rate_source::response:
        return "response";
    case rate_source::rejection:
        return "rejection";
    case rate_source::offer:
        return "offer";
    }
    return "unknown";
}

bool rate_statements::accept(core::upstream_id const& worker,
                             core::stated_rate const& rate, rate_source source,
                             core::stated_rate const& in_use)
{
    bool const is_known = stated_by_ == worker &&
                          !std::holds_alternative<core::rate_unknown>(in_use);
    if (!may_apply(rate, source, is_known))
    {
        return false;
    }
    stated_by_ = worker;
    return true;
}

} // namespace yuccafall::upstream
