// Tests of the core types.
#include <set>
#include <string>
#include <thread>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include "core/error.hpp"
#include "core/log.hpp"

using namespace yuccafall::core;

// Guards against a response that stands at the index of another error kind.
TEST_CASE("each error kind has its own response")
{
    std::set<std::string_view> names;
    for (std::size_t n = 0; n < error_kind_count; ++n)
    {
        auto const kind = static_cast<error_kind>(n);
        REQUIRE(error_kind_info_for(kind).kind == kind);
        REQUIRE(error_kind_from_name(error_kind_info_for(kind).name) == kind);
        names.insert(error_kind_info_for(kind).name);
    }
    REQUIRE(names.size() == error_kind_count);
}

// Guards against telling a caller to resend a call that may have run.
TEST_CASE("a call may be sent again only if it did not run")
{
    for (std::size_t n = 0; n < error_kind_count; ++n)
    {
        auto const& it = error_kind_info_for(static_cast<error_kind>(n));
        if (it.may_resend)
        {
            REQUIRE(it.ran == call_execution::not_run);
        }
    }
}

// Guards against log injection: a value must not be able to add an event or a
// field to the log.
TEST_CASE("a value cannot break out of its field in a log line")
{
    rc::prop("any value", [](std::string const& value) {
        auto const line =
            format_event(log_level::info, "probe", {{"value", value}});
        RC_ASSERT(line.find('\n') == std::string::npos);
    });
    auto const line =
        format_event(log_level::info, "probe", {{"value", "a b=\"c\""}});
    REQUIRE(line.find("value=\"a b=\\\"c\\\"\"") != std::string::npos);
}
