// The complete set of error kinds, and the HTTP response that a caller (the
// client or worker that sends a request) gets for each of them.
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
    // The worker or the node is about to stop.
    leaving,
    // The operator has asked that nothing more be sent to the workers of the
    // data centre.
    evacuated,
    // The time limit passed before the call ran.
    expired,
    // The worker refused the call.
    upstream_rejected,
    // The address now belongs to another worker.
    wrong_upstream,
    // The request is refused because it has crashed workers.
    poisoned,
    // The worker got the call but did not respond.
    upstream_failed,
    // The time limit passed without a response; the call may have run.
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

inline constexpr std::size_t error_kind_count = 24;

// Whether a call that ended with an error was executed by a worker, as far as
// that is known.
enum class call_execution
{
    not_run,
    ran,
    unknown,
};

// How an error kind is reported to the caller.
struct error_kind_info
{
    error_kind kind;
    // The name of the kind in responses, frames, logs and metrics.
    std::string_view name;
    int http_status;
    call_execution ran;
    // Invariant: may_resend is true only if ran is not_run, because only then
    // can the call be sent again without running a non-idempotent call twice.
    bool may_resend;
};

error_kind_info const& error_kind_info_for(error_kind kind) noexcept;

// Returns the kind with the given name, for frames that carry the kind as text.
std::optional<error_kind> error_kind_from_name(std::string_view name) noexcept;

std::string_view to_string(call_execution it) noexcept;

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
