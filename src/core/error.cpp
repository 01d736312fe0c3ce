// The table that maps error kinds to error_kind_infos.
#include "core/error.hpp"

#include <algorithm>

namespace yuccafall::core {

namespace {

// Invariant: row i describes the enumerator with value i.
constexpr std::array<error_kind_info, error_kind_count> error_kind_infos{{
    {error_kind::bad_request, "bad_request", 400, execution::not_run, false},
    {error_kind::head_too_large, "head_too_large", 431, execution::not_run,
     false},
    {error_kind::body_too_large, "body_too_large", 413, execution::not_run,
     false},
    {error_kind::request_timeout, "request_timeout", 408, execution::not_run,
     true},
    {error_kind::no_route, "no_route", 404, execution::not_run, false},
    {error_kind::not_ready, "not_ready", 503, execution::not_run, true},
    {error_kind::no_upstream, "no_upstream", 503, execution::not_run, true},
    {error_kind::overloaded, "overloaded", 503, execution::not_run, true},
    {error_kind::leaving, "leaving", 503, execution::not_run, true},
    {error_kind::expired, "expired", 503, execution::not_run, true},
    {error_kind::upstream_rejected, "upstream_rejected", 503,
     execution::not_run, true},
    {error_kind::wrong_upstream, "wrong_upstream", 503, execution::not_run,
     true},
    {error_kind::poisoned, "poisoned", 503, execution::not_run, true},
    {error_kind::upstream_failed, "upstream_failed", 502, execution::unknown,
     false},
    {error_kind::deadline_passed, "deadline_passed", 504, execution::unknown,
     false},
    {error_kind::truncated_answer, "truncated_answer", 502, execution::unknown,
     false},
    {error_kind::bad_frame, "bad_frame", 502, execution::unknown, false},
    {error_kind::canceled, "canceled", 499, execution::unknown, false},
    {error_kind::invalid_tables, "invalid_tables", 500, execution::not_run,
     false},
    {error_kind::invalid_settings, "invalid_settings", 500, execution::not_run,
     false},
    {error_kind::invalid_configuration, "invalid_configuration", 500,
     execution::not_run, false},
    {error_kind::platform_unavailable, "platform_unavailable", 503,
     execution::not_run, false},
    {error_kind::io, "io", 502, execution::unknown, false},
}};

} // namespace

error_kind_info const& error_kind_info_for(error_kind kind) noexcept
{
    return error_kind_infos[static_cast<std::size_t>(kind)];
}

std::optional<error_kind> error_kind_from_name(std::string_view name) noexcept
{
    auto it =
        std::find_if(error_kind_infos.begin(), error_kind_infos.end(),
                     [&](error_kind_info const& a) { return a.name == name; });
    if (it == error_kind_infos.end())
    {
        return std::nullopt;
    }
    return it->kind;
}

std::string_view to_string(execution it) noexcept
{
    switch (it)
    {
    case execution::not_run:
        return "not-run";
    case execution::ran:
        return "ran";
    case execution::unknown:
        return "unknown";
    }
    return "unknown";
}

} // namespace yuccafall::core
