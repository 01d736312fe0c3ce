// Tests the commands that send a request to a node. A fake node responds.
#include <string>

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include "commands/tests/fake_node.hpp"
#include "commands/tests/run_command_line.hpp"
#include "stand_ins/raw_worker.hpp"
#include "stand_ins/response_samples.hpp"

using namespace yuccafall::commands;
using namespace yuccafall::commands::tests;

namespace {

std::string where_body(bool complete)
{
    return fmt::format(
        R"({{"revision":7,"data_centres":[{{"name":"lj-a","in_force":5,)"
        R"("behind":1,"unknown":2,"refused":0,"laggards":["vm-3"]}}],)"
        R"("complete":{}}})",
        complete);
}

} // namespace

// Guards against a rollout script that continues before a change is in force.
TEST_CASE("the exit code of where says whether a revision is in force")
{
    fake_node behind(where_body(false));
    auto const it = run({"where", behind.flag(), "--revision=7"});
    REQUIRE(it.code == exit_code::rollout_incomplete);
    REQUIRE(it.out == "revision 7: not in force everywhere\n"
                      "lj-a: in force 5, behind 1 (refused 0), unknown 2\n"
                      "  laggard vm-3\n");
    REQUIRE(behind.request_line() == "GET /where?revision=7 HTTP/1.1");
    fake_node complete(where_body(true));
    auto const json = run({"where", complete.flag(), "--json"});
    REQUIRE(json.code == exit_code::success);
    REQUIRE(json.out == where_body(true) + "\n");
    REQUIRE(complete.request_line() == "GET /where HTTP/1.1");
}

TEST_CASE("explain prints the route, the reason and the upstreams")
{
    fake_node node(
        R"({"route":"r","version":7,"kind":"idempotent","timeout_ms":500,)"
        R"("aim_ms":100,"rank":1,"attempts":2,"reason":"only one",)"
        R"("targets":[{"service":"s","weight":1}],"upstreams":[)"
        R"({"id":"i-1","service":"s","data_centre":"lj-a","slots":6}]})");
    auto const it = run({"explain", node.flag(), "GET", "/a?b=c&d=%20"});
    REQUIRE(it.code == exit_code::success);
    REQUIRE(it.out ==
            "route: r\nversion: 7\nkind: idempotent\ntimeout_ms: 500\n"
            "aim_ms: 100\nrank: 1\nattempts: 2\n"
            "targets: [{\"service\":\"s\",\"weight\":1}]\n"
            "reason: only one\n"
            "upstream i-1: service s, data centre lj-a, slots 6\n");
    REQUIRE(node.request_line() ==
            "GET /explain?method=GET&url=%2Fa%3Fb%3Dc%26d%3D%2520 HTTP/1.1");
    fake_node without_route(R"({"error":"no_route","reason":"no path"})");
    auto const missing = run({"explain", without_route.flag(), "GET", "/"});
    REQUIRE(missing.code == exit_code::negative_result);
    REQUIRE(missing.out == "no_route: no path\n");
}

TEST_CASE("where and explain print evacuations")
{
    fake_node fleet(R"({"revision":7,"data_centres":[],"complete":true,)"
                    R"("evacuations":[{"data_centre":"lj-b","seen":4,)"
                    R"("not_seen":1,"unknown":0,"laggards":["vm-3"]}]})");
    REQUIRE(run({"where", fleet.flag()}).out ==
            "revision 7: in force everywhere\n"
            "evacuated lj-b: seen 4, not seen 1, unknown 0\n"
            "  laggard vm-3\n");
    fake_node node(
        R"({"route":"r","version":7,"kind":"idempotent","timeout_ms":500,)"
        R"("aim_ms":100,"rank":1,"attempts":2,"reason":"only one",)"
        R"("targets":[],"upstreams":[],"evacuated_upstreams":[)"
        R"({"id":"i-1","service":"s","data_centre":"lj-b","slots":6}]})");
    auto const it = run({"explain", node.flag(), "GET", "/a"});
    REQUIRE(it.out.find("evacuated upstream i-1: service s, data centre lj-b, "
                        "slots 6\n") != std::string::npos);
}

TEST_CASE("status prints each key")
{
    fake_node node(R"({"ready":true,"revision":5,"vm":"vm-1"})");
    REQUIRE(run({"status", node.flag()}).out ==
            "ready: true\nrevision: 5\nvm: vm-1\n");
}

// Guards against a partial response that is taken for a complete one.
TEST_CASE("a node that fails or sends an invalid response gives exit code 69")
{
    for (auto const* body : {"", "busy", "[1]", R"({"revision":7})",
                             R"({"revision":7,"data_centres":1,"complete":1})"})
    {
        INFO(body);
        fake_node node(body);
        auto const it = run({"where", node.flag()});
        REQUIRE(it.code == exit_code::unavailable);
        REQUIRE(it.out.empty());
        REQUIRE(it.err.find("did not answer") != std::string::npos);
    }
    // Nothing listens on port 1 of the loopback address.
    auto const refused = run({"status", "--node=127.0.0.1:1"});
    REQUIRE(refused.code == exit_code::unavailable);
}

// Guards against a rollout script that continues because of a response that the
// node has not sent.
TEST_CASE("a malformed response of a node gives no result")
{
    using namespace yuccafall::stand_ins;
    raw_worker node({yuccafall::core::ip_address("127.0.0.1"),
                     yuccafall::core::port_number(0)});
    auto const flag = "--node=" + yuccafall::core::to_string(node.local());
    auto const content = response_content{"", where_body(true)};
    auto const check_unavailable = [&] {
        auto const it = run({"where", flag});
        CHECK(it.code == exit_code::unavailable);
        CHECK(it.out.empty());
        CHECK(it.err.find("did not answer: ") != std::string::npos);
    };
    for (auto const& sample : make_broken_responses(content))
    {
        CAPTURE(sample.name);
        node.set_reply({send_bytes{sample.bytes}, send_fin{}, await_close{}});
        check_unavailable();
    }
    node.set_reply(
        {send_bytes{"HTTP/1.1 200 OK\r\n\r\n" + content.body}, send_reset{}});
    check_unavailable();
    for (auto const& sample : make_sound_responses(content))
    {
        CAPTURE(sample.name);
        node.set_reply({send_bytes{sample.bytes}, send_fin{}, await_close{}});
        CHECK(run({"where", flag}).code ==
              (sample.has_body ? exit_code::success : exit_code::unavailable));
    }
}
