// Tests the parsing of the settings file.
#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include "node/settings.hpp"

using namespace yuccafall;
using namespace yuccafall::node;

namespace {

std::string const valid_settings = R"(vm: vm-1
service: shop
data_centre: a
region: here
endpoints:
  callers: 127.0.0.1:1
  readiness: 127.0.0.1:2
  control: 127.0.0.1:3
  traffic: 127.0.0.1:4
  operators: 127.0.0.1:5
  worker: 127.0.0.1:6
  platform: 127.0.0.1:7
seeds: [127.0.0.2:3, 127.0.0.3:3]
bounds:
  retry_share: 0.25
  retry_slack: 9
  longest_drain_s: 4.5
  worker_heartbeat_ms: 870
  min_caller_rate: 500
  caller_rate_window_ms: 20000
memory_mb: 100
max_fds: 4100
link_mbps: 7.6
)";

std::string with_replaced(std::string const& from, std::string const& to)
{
    auto text = valid_settings;
    text.replace(text.find(from), from.size(), to);
    return text;
}

} // namespace

TEST_CASE("settings are parsed into typed values")
{
    auto const it = parse_settings(valid_settings);
    REQUIRE(it);
    REQUIRE(it->vm == core::vm_id("vm-1"));
    REQUIRE(it->worker.port == core::port_number(6));
    REQUIRE(it->seeds.size() == 2);
    REQUIRE(it->retries.ratio == core::percentage(25));
    REQUIRE(it->retries.slack == core::queue_length(9));
    REQUIRE(it->max_drain_time == core::milliseconds(4'500));
    REQUIRE(it->worker_heartbeat == core::milliseconds(870));
    REQUIRE(it->link_bandwidth == core::bytes_per_second(950'000));
    REQUIRE(it->memory_limit == core::byte_count(100UL * 1024 * 1024));
    REQUIRE(it->max_descriptors == descriptor_count(4'100));
    REQUIRE(it->min_caller_rate == core::bytes_per_second(500));
    REQUIRE(it->caller_rate_window == core::milliseconds(20'000));
}

// Guards against a template whose platform states no limit, so that the setting
// is empty, and against nodes of the time before the settings.
TEST_CASE("settings of limits may be empty or missing")
{
    auto const empty = parse_settings(with_replaced("4100", ""));
    REQUIRE(empty);
    REQUIRE(empty->max_descriptors == descriptor_count(0));
    auto const missing = parse_settings(with_replaced("max_fds: 4100\n", ""));
    REQUIRE(missing);
    REQUIRE(missing->max_descriptors == descriptor_count(0));
    auto const defaults =
        parse_settings(with_replaced("  min_caller_rate: 500\n", ""));
    REQUIRE(defaults);
    REQUIRE(defaults->min_caller_rate == core::bytes_per_second(1'000));
}

// Guards against a node that refuses to start because the platform states a
// limit with a fraction, as it does for a deployment scaled down to a few VMs.
TEST_CASE("a limit with a fraction is rounded down")
{
    auto const it =
        parse_settings(with_replaced("retry_slack: 9", "retry_slack: 37.619"));
    REQUIRE(it);
    REQUIRE(it->retries.slack == core::queue_length(37));
}

TEST_CASE("a fault names its setting, its line and what was expected")
{
    struct test_case
    {
        std::string text;
        std::string message;
    };
    for (auto const& it : std::vector<test_case>{
             {with_replaced("service: shop\n", ""), "\"service\": missing"},
             {with_replaced("127.0.0.1:6", "nowhere"),
              "\"endpoints.worker\": expected"},
             {with_replaced("retry_share: 0.25", "retry_share: 3"),
              "from 0 to 1"},
             {with_replaced("retry_slack: 9", "retry_slack: -9"),
              "from 0 to 1000000"},
             {with_replaced("retry_slack: 9", "retry_slack: 9x"),
              "from 0 to 1000000"},
             {with_replaced("memory_mb", "memory_kb"), "unknown setting"},
             {with_replaced("7.6", "fast"), "megabits a second"},
             {with_replaced("4100", "200"), "from 256 to"},
             {with_replaced("20000", "10"), "from 1000 to"},
             {with_replaced("min_caller_rate: 500", "min_caller_rate: x"),
              "\"bounds.min_caller_rate\": expected"},
             {with_replaced("127.0.0.3:3", "x"), "\"seeds\""},
             {"[]", "mapping"},
             {"a: [", "line"}})
    {
        CAPTURE(it.text);
        auto const done = parse_settings(it.text);
        REQUIRE_FALSE(done);
        REQUIRE(done.error().kind == core::error_kind::invalid_settings);
        REQUIRE(done.error().detail.find(it.message) != std::string::npos);
        REQUIRE(done.error().detail.find("line ") != std::string::npos);
    }
}

TEST_CASE("arbitrary text is parsed or rejected without a crash")
{
    rc::prop("texts", [](std::string const& text) { parse_settings(text); });
}
