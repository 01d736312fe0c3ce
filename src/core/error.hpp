// The closed list of error kinds and the answer that a caller gets for each.
#ifndef YUCCAFALL_CORE_ERROR_HPP
#define YUCCAFALL_CORE_ERROR_HPP

#include <array>
#include <optional>
#include <string>
#include <string_view>

#include <tl/expected.hpp>

namespace yuccafall::core {

enum class error_kind
{
    bad_request,
    head_too_large,
    body_too_large,
    request_timeout,
    no_route,
    not_ready,
    no_upstream,
    overloaded,
    leaving,
    expired,
    upstream_rejected,
    wrong_upstream,
    poisoned,
    upstream_failed,
    deadline_passed,
    truncated_answer,
    bad_frame,
    canceled,
    invalid_tables,
    invalid_settings,
    invalid_configuration,
    platform_unavailable,
    io,
};

inline constexpr std::size_t error_kind_count = 23;

// What is known about the execution of a call that ended with an error.
enum class execution
{
    not_run,
    ran,
    unknown,
};

struct answer
{
    error_kind kind;
    std::string_view name;
    int http_status;
    execution ran;
    // Invariant: true only where sending the call again cannot run a
    // non-idempotent call twice, which means only where ran is not_run.
    bool may_resend;
};

answer const& answer_of(error_kind kind) noexcept;

// The inverse of the name column, for frames that carry a kind by name.
std::optional<error_kind> error_kind_named(std::string_view name) noexcept;

std::string_view to_string(execution it) noexcept;

struct error
{
    error_kind kind;
    std::string detail;
};

template <class T>
using result = tl::expected<T, error>;

inline tl::unexpected<error> failure(error_kind kind, std::string detail)
{
    return tl::unexpected<error>(error{kind, std::move(detail)});
}

} // namespace yuccafall::core

#endif
