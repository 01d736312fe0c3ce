// Maps each error kind to its response.
#include "core/error.hpp"

#include <algorithm>

namespace yuccafall::core {

namespace {

// Invariant: the element at index i describes the error kind with value i.
constexpr std::array<error_kind_info, error_kind_count> error_kind_infos{{
    {error_kind::bad_request, "bad_request", 400, call_execution::not_run,
     false},
    {error_kind::head_too_large, "head_too_large", 431, call_execution::not_run,
     false},
    {error_kind::body_too_large, "body_too_large", 413, call_execution::not_run,
     false},
    {error_kind::request_timeout, "request_timeout", 408,
     call_execution::not_run, true},
    {error_kind::no_route, "no_route", 404, call_execution::not_run, false},
    {error_kind::not_ready, "not_ready", 503, call_execution::not_run, true},
    {error_kind::no_upstream, "no_upstream", 503, call_execution::not_run,
     true},
    {error_kind::overloaded, "overloaded", 503, call_execution::not_run, true},
    {error_kind::leaving, "leaving", 503, call_execution::not_run, true},
    {error_kind::evacuated, "evacuated", 503, call_execution::not_run, true},
    {error_kind::expired, "expired", 503, call_execution::not_run, true},
    {error_kind::upstream_rejected, "upstream_rejected", 503,
     call_execution::not_run, true},
    {error_kind::wrong_upstream, "wrong_upstream", 503, call_execution::not_run,
     true},
    {error_kind::poisoned, "poisoned", 503, call_execution::not_run, true},
    {error_kind::upstream_failed, "upstream_failed", 502,
     call_execution::unknown, false},
    {error_kind::deadline_passed, "deadline_passed", 504,
     call_execution::unknown, false},
    {error_kind::truncated_answer, "truncated_answer", 502,
     call_execution::unknown, false},
    {error_kind::bad_frame, "bad_frame", 502, call_execution::unknown, false},
    {error_kind::canceled, "canceled", 499, call_execution::unknown, false},
    {error_kind::invalid_tables, "invalid_tables", 500, call_execution::not_run,
     false},
    {error_kind::invalid_settings, "invalid_settings", 500,
     call_execution::not_run, false},
    {error_kind::invalid_configuration, "invalid_configuration", 500,
     call_execution::not_run, false},
    {error_kind::platform_unavailable, "platform_unavailable", 503,
     call_execution::not_run, false},
    {error_kind::io, "io", 502, call_execution::unknown, false},
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

std::string_view to_string(call_execution it) noexcept
{
    switch (it)
    {
    case call_execution::not_run:
        return "not-run";
    case call_execution::ran:
        return "ran";
    case call_execution::unknown:
        return "unknown";
    }
    return "unknown";
}

} // namespace yuccafall::core
