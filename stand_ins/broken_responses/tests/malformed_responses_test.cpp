// Tests that a malformed response of a worker reaches no caller and promises
// nothing.
#include <map>
#include <string>
#include <vector>

#include "stand_ins/broken_responses/tests/broken_deployment.hpp"

using namespace yuccafall;
using namespace yuccafall::stand_ins;
using namespace yuccafall::stand_ins::tests;

// Reports of operators: a status 000, and a field whose name holds a blank or a
// control byte.
TEST_CASE("a malformed response reaches no caller")
{
    broken_deployment fleet;
    auto const samples = make_broken_responses(sample_content());
    for (auto const vm : {vault, front})
    {
        for (auto const& it : samples)
        {
            CAPTURE(vm, it.name);
            fleet.vault_worker->set_reply(
                {read_body{}, send_bytes{it.bytes}, send_fin{}, await_close{}});
            auto const id = fleet.next_id();
            auto request = deployment::request("/book/x", id, "POST");
            request.body = "booking";
            require_failure(fleet.send(vm, std::move(request)),
                            *fleet.vault_worker, id);
        }
    }
    CHECK(fleet.vault_worker->requests_on_used_connections() == 0);
}

// Guards against a success that loses its signature on the way.
TEST_CASE("a signature that the worker names as a field of its connection is "
          "none")
{
    broken_deployment fleet;
    for (auto const vm : {vault, front})
    {
        CAPTURE(vm);
        fleet.vault_worker->set_reply(
            {read_body{},
             send_bytes{fmt::format(
                 "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n"
                 "Connection: close, Response-Signature\r\n{}\r\nbody",
                 signed_fields)},
             send_fin{}, await_close{}});
        auto const id = fleet.next_id();
        require_failure(fleet.send(vm, make_upload(id, 10)),
                        *fleet.vault_worker, id);
    }
}

// Guards against a request that is reported as not run, or sent again, because
// of a refusal that is not whole.
TEST_CASE("a malformed refusal promises nothing")
{
    broken_deployment fleet;
    for (auto const& it : make_broken_responses(
             {"Attempt-Id: {id}\r\nNot-Executed: 1\r\n", "full"}))
    {
        CAPTURE(it.name);
        fleet.vault_worker->set_reply(
            {read_body{}, send_bytes{it.bytes}, send_fin{}, await_close{}});
        auto const id = fleet.next_id();
        require_failure(fleet.send(front, make_upload(id, 10)),
                        *fleet.vault_worker, id);
    }
}

// A lookup may run again, so that its caller gets the response of another
// worker. The retry budget of the deployment allows only a few.
TEST_CASE(
    "a request that may run again goes to another worker after a response "
    "that is not used")
{
    broken_deployment fleet;
    reply_step const part =
        send_bytes{"HTTP/1.1 200 OK\r\n" + signed_fields + "\r\npart"};
    reply_step const no_status =
        send_bytes{"HTTP/1.1 000 Odd\r\n" + signed_fields + "\r\npart"};
    reply_step const bad_name = send_bytes{"HTTP/1.1 200 OK\r\nX Y: z\r\n" +
                                           signed_fields + "\r\nbody"};
    for (auto const& steps : std::vector<reply>{{part, send_reset{}},
                                                {no_status, send_fin{}},
                                                {bad_name, send_fin{}}})
    {
        fleet.desk_worker->set_reply(steps);
        std::string id;
        raw_result it;
        REQUIRE(deployment::poll_until([&] {
            id = fleet.next_id();
            auto lookup = deployment::request("/look/x", id, "POST");
            lookup.body = std::string(long_upload, 'u');
            it = fleet.send(front, std::move(lookup));
            return fleet.desk_worker->arrivals(id) > 0;
        }));
        CHECK(fleet.desk_worker->arrivals(id) == 1);
        CHECK(it.status() == "200");
        CHECK(it.body() == "answer to " + id);
    }
}

// Guards against a request that is reported as not run, or sent again, although
// it has run, and against a success that the worker has not signed.
TEST_CASE("the fields of a trailer say nothing about the request")
{
    broken_deployment fleet;
    std::string const head = "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\n"
                             "Transfer-Encoding: chunked\r\n";
    std::string const signature = "Response-Signature: s.{id}\r\n";
    std::string const body = "\r\n4\r\nbody\r\n0\r\n";
    for (auto const vm : {vault, front})
    {
        CAPTURE(vm);
        for (auto const* line :
             {"Not-Executed: 1\r\n", "Attempt-Id: other\r\n",
              "Response-Signature: other\r\n", "Content-Encoding: gzip\r\n"})
        {
            CAPTURE(line);
            fleet.vault_worker->set_reply(
                {read_body{},
                 send_bytes{
                     fmt::format("{}{}{}{}\r\n", head, signature, body, line)},
                 send_fin{}, await_close{}});
            auto const id = fleet.next_id();
            auto const it = fleet.send(vm, make_upload(id, 10));
            CHECK(it.status() == "200");
            CHECK(it.body() == "body");
            CHECK(it.bytes.find("other") == std::string::npos);
            CHECK(fleet.vault_worker->arrivals(id) == 1);
        }
        fleet.vault_worker->set_reply(
            {read_body{},
             send_bytes{fmt::format("{}{}{}\r\n", head, body, signature)},
             send_fin{}, await_close{}});
        auto const id = fleet.next_id();
        require_failure(fleet.send(vm, make_upload(id, 10)),
                        *fleet.vault_worker, id);
    }
}

// An operator learns from the log and the metrics of the worker's node why a
// response was not used.
TEST_CASE("the reason for which a response is not used is logged and counted")
{
    broken_deployment fleet;
    std::map<std::string, std::string> bytes_by_fault;
    for (auto const& it : make_broken_responses(sample_content()))
    {
        bytes_by_fault.emplace(it.fault, it.bytes);
    }
    bytes_by_fault["no_signature"] = "HTTP/1.1 200 OK\r\n\r\n";
    bytes_by_fault["content_coding"] = "HTTP/1.1 200 OK\r\n" + signed_fields +
                                       "Content-Encoding: gzip\r\n\r\n";
    bytes_by_fault["unconfirmed_refusal"] = "HTTP/1.1 503 Full\r\n\r\n";
    bytes_by_fault["body_too_large"] =
        "HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n";
    for (auto const& [fault, bytes] : bytes_by_fault)
    {
        fleet.vault_worker->set_reply(
            {read_body{}, send_bytes{bytes}, send_fin{}, await_close{}});
        auto const id = fleet.next_id();
        require_failure(fleet.send(front, make_upload(id, 10)),
                        *fleet.vault_worker, id);
    }
    fleet.vault_worker->set_reply(
        {read_body{}, send_bytes{"HTTP/1.1 200 OK\r\n\r\n"}, send_reset{}});
    auto const id = fleet.next_id();
    require_failure(fleet.send(front, make_upload(id, 10)), *fleet.vault_worker,
                    id);
    bytes_by_fault["reset"] = {};
    for (auto const& [fault, bytes] : bytes_by_fault)
    {
        CAPTURE(fault);
        CHECK(fleet.metric(vault,
                           fmt::format("yuccafall_invalid_responses_total{{"
                                       "source=\"worker\",reason=\"{}\"}}",
                                       fault)) == "1");
        CHECK(fleet.log(vault).find("fault=" + fault + " ") !=
              std::string::npos);
    }
}
