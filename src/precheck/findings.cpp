// Describes findings to the operator.
#include "precheck/findings.hpp"

#include <string_view>

#include <fmt/format.h>

namespace yuccafall::precheck {

namespace {

std::string_view name_of(caller_limit it)
{
    switch (it)
    {
    case caller_limit::header_size:
        return "maximum header size";
    case caller_limit::body_size:
        return "maximum body size";
    case caller_limit::header_timeout:
        return "header timeout";
    case caller_limit::idle_timeout:
        return "idle timeout";
    }
    return "unknown limit";
}

struct describe
{
    std::string operator()(unused_service const& it) const
    {
        return fmt::format("service \"{}\": no route has it as a target",
                           it.service.value());
    }
    std::string operator()(zero_weight_target const& it) const
    {
        return fmt::format("route \"{}\": the target \"{}\" has weight 0 and "
                           "gets no requests",
                           it.route.value(), it.service.value());
    }
    std::string operator()(unknown_route_kind const& it) const
    {
        return fmt::format("route \"{}\": the kind \"{}\" is not known and is "
                           "treated as non-idempotent",
                           it.route.value(), it.word);
    }
    std::string operator()(timeout_below_target const& it) const
    {
        return fmt::format("route \"{}\": the timeout of {} ms is below the "
                           "target latency of {} ms",
                           it.route.value(), it.timeout.count(),
                           it.target_latency.count());
    }
    std::string operator()(too_many_attempts const& it) const
    {
        return fmt::format("route \"{}\": {} attempts are permitted, but the "
                           "timeout allows {} at the target latency",
                           it.route.value(), it.permitted.value(),
                           it.possible.value());
    }
    std::string operator()(zero_target_latency const& it) const
    {
        return fmt::format("route \"{}\": the target latency is 0",
                           it.route.value());
    }
    std::string operator()(zero_caller_limit const& it) const
    {
        return fmt::format("limits: the {} is 0", name_of(it.limit));
    }
};

} // namespace

std::string to_text(finding const& it)
{
    return std::visit(describe{}, it);
}

} // namespace yuccafall::precheck
