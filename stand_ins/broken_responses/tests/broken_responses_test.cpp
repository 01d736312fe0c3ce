// Tests that a response of a worker that cannot be trusted reaches no caller,
// and that a sound one does. The nodes run as processes of the real program.
// Each request takes the whole path: a caller, its node, the node beside the
// worker, and the worker.
#include <map>
#include <memory>

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include "stand_ins/deployment.hpp"
#include "stand_ins/raw_caller.hpp"
#include "stand_ins/raw_worker.hpp"
#include "stand_ins/response_samples.hpp"

using namespace yuccafall;
using namespace yuccafall::stand_ins;

namespace {

// The node of this VM has a worker that no route uses.
constexpr std::size_t front = 0;
// The raw worker of this VM runs uploads and bookings.
constexpr std::size_t vault = 1;
// One of the two workers that run lookups is a raw one, that of this VM.
constexpr std::size_t broken_desk = 2;

// The time limit only ends a test that fails.
constexpr int route_timeout_ms = 20'000;
constexpr core::milliseconds caller_timeout{30'000};

// More than the kernel takes in on the way to a worker that does not read.
constexpr std::size_t long_upload = 8UL * 1024 * 1024;

std::string const signed_fields =
    "Attempt-Id: {id}\r\nResponse-Signature: s.{id}\r\n";

// The body is longer than several reads of the node.
response_content sample_content()
{
    return {signed_fields, "the worker's body " + std::string(50'000, 'x')};
}

class broken_deployment : public deployment
{
public:
    broken_deployment()
        : deployment(
              {{"a", "front"}, {"a", "vault"}, {"b", "desk"}, {"b", "desk"}},
              {})
    {
        set_max_body(core::byte_count(2 * long_upload));
        auto const version =
            publish({{"/upload/", "upload", "vault", route_timeout_ms},
                     {"/book/", "non_idempotent", "vault", route_timeout_ms},
                     {"/brief/", "non_idempotent", "vault", 500},
                     {"/look/", "idempotent", "desk", route_timeout_ms}});
        start_nodes();
        for (std::size_t i = 0; i < size(); ++i)
        {
            REQUIRE(wait_until_ready(i));
            REQUIRE(wait_for_version(i, version));
        }
        vault_worker = replace_worker(vault);
        desk_worker = replace_worker(broken_desk);
    }

    ~broken_deployment()
    {
        for (std::size_t i = 0; i < size(); ++i)
        {
            CHECK(log(i).find("event=handler_failed") == std::string::npos);
        }
    }

    std::string next_id() { return fmt::format("q{}", ++last_id_); }

    raw_result send(std::size_t vm, http::request it)
    {
        return call_raw(caller_endpoint(vm), std::move(it), caller_timeout);
    }

    // Returns the node's metric, or an empty text if there is none.
    std::string metric(std::size_t vm, std::string const& name)
    {
        auto const text =
            "\n" + send_request(admin_endpoint(vm), request("/metrics", "m"),
                                core::milliseconds(3'000))
                       .body;
        auto const at = text.find("\n" + name + " ");
        if (at == std::string::npos)
        {
            return {};
        }
        auto const start = at + name.size() + 2;
        return text.substr(start, text.find('\n', start) - start);
    }

    std::unique_ptr<raw_worker> vault_worker;
    std::unique_ptr<raw_worker> desk_worker;

private:
    std::unique_ptr<raw_worker> replace_worker(std::size_t vm)
    {
        auto const at = worker(vm).local();
        worker(vm).crash();
        return std::make_unique<raw_worker>(at);
    }

    int last_id_ = 0;
};

http::request make_upload(std::string const& id, std::size_t size)
{
    auto it = deployment::request("/upload/x", id, "POST");
    it.body = std::string(size, 'u');
    return it;
}

// The caller gets the node's own failure, which promises nothing, and nothing
// of the worker's response. The request has run once.
void require_failure(raw_result const& it, raw_worker const& worker,
                     std::string const& id)
{
    CAPTURE(it.bytes.substr(0, 400));
    CHECK(it.ended);
    CHECK(it.status() == "502");
    CHECK(it.body().empty());
    CHECK(it.bytes.find("Response-Signature") == std::string::npos);
    CHECK(worker.arrivals(id) == 1);
}

// Short enough to be read at once, and longer than one read of the node.
std::vector<std::size_t> const part_sizes{0, 100, 60'000};

} // namespace

// Report of an operator: a worker answered a long upload with a status 200
// without a length, sent a part of the body and reset the connection while the
// upload was being written. The caller got the part as the whole.
TEST_CASE("a response without a length that is reset during an upload is not "
          "complete")
{
    broken_deployment fleet;
    for (auto const vm : {vault, front})
    {
        for (auto const* version : {"HTTP/1.1", "HTTP/1.0"})
        {
            for (auto const size : part_sizes)
            {
                for (auto const pause : {0, 20, 300})
                {
                    CAPTURE(vm, version, size, pause);
                    fleet.vault_worker->set_reply(
                        {send_bytes{std::string(version) + " 200 OK\r\n" +
                                    signed_fields + "\r\n" +
                                    std::string(size, 'p')},
                         pause_for{core::milliseconds(pause)}, send_reset{}});
                    auto const id = fleet.next_id();
                    auto const it =
                        fleet.send(vm, make_upload(id, long_upload));
                    require_failure(it, *fleet.vault_worker, id);
                }
            }
        }
    }
}

// A refusal that is not complete is none: the request may have run.
TEST_CASE("a refusal without a length that is reset during an upload promises "
          "nothing")
{
    broken_deployment fleet;
    for (auto const vm : {vault, front})
    {
        for (auto const* status : {"503 Full", "421 Other", "429 Later"})
        {
            CAPTURE(vm, status);
            fleet.vault_worker->set_reply(
                {send_bytes{fmt::format("HTTP/1.1 {}\r\nAttempt-Id: {{id}}\r\n"
                                        "Not-Executed: 1\r\n\r\npart",
                                        status)},
                 pause_for{core::milliseconds(20)}, send_reset{}});
            auto const id = fleet.next_id();
            auto const it = fleet.send(vm, make_upload(id, long_upload));
            require_failure(it, *fleet.vault_worker, id);
        }
    }
}

// The kernel ends the connection, since the worker reads no more of the upload.
TEST_CASE("a response without a length whose connection times out during an "
          "upload is not complete")
{
    broken_deployment fleet;
    for (auto const vm : {vault, front})
    {
        CAPTURE(vm);
        fleet.vault_worker->set_reply(
            {send_bytes{"HTTP/1.1 200 OK\r\n" + signed_fields + "\r\npart"},
             pause_for{core::milliseconds(8'000)}, send_fin{}});
        auto const id = fleet.next_id();
        auto const it = fleet.send(vm, make_upload(id, long_upload));
        require_failure(it, *fleet.vault_worker, id);
    }
}

TEST_CASE("a response that is reset before its end is not complete")
{
    broken_deployment fleet;
    for (auto const vm : {vault, front})
    {
        for (auto const& fields :
             {std::string(), std::string("Content-Length: 70000\r\n"),
              std::string("Transfer-Encoding: chunked\r\n")})
        {
            for (auto const size : part_sizes)
            {
                for (bool const reads_request : {false, true})
                {
                    CAPTURE(vm, fields, size, reads_request);
                    bool const chunked =
                        fields.find("chunked") != std::string::npos;
                    reply steps{
                        send_bytes{fmt::format(
                            "HTTP/1.1 200 OK\r\n{}{}\r\n{}{}", signed_fields,
                            fields, chunked ? "f000\r\n" : "",
                            std::string(size, 'p'))},
                        send_reset{}};
                    if (reads_request)
                    {
                        steps.insert(steps.begin(), read_body{});
                    }
                    fleet.vault_worker->set_reply(std::move(steps));
                    auto const id = fleet.next_id();
                    auto const it =
                        fleet.send(vm, make_upload(id, long_upload));
                    require_failure(it, *fleet.vault_worker, id);
                }
            }
        }
    }
}

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

TEST_CASE("a response that does not go on ends at the deadline of its request")
{
    broken_deployment fleet;
    for (auto const vm : {vault, front})
    {
        for (auto const* fields :
             {"", "Content-Length: 10\r\n", "Transfer-Encoding: chunked\r\n"})
        {
            CAPTURE(vm, fields);
            fleet.vault_worker->set_reply(
                {read_body{},
                 send_bytes{fmt::format("HTTP/1.1 200 OK\r\n{}{}\r\n5\r\n",
                                        signed_fields, fields)},
                 await_close{}});
            auto const id = fleet.next_id();
            auto const it =
                fleet.send(vm, deployment::request("/brief/x", id, "POST"));
            CHECK(it.status() == "504");
            CHECK(it.body().empty());
            CHECK(fleet.vault_worker->arrivals(id) == 1);
        }
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

// A worker may respond before it has read an upload and read on afterwards. The
// rest of the upload must reach it, and then the next request.
TEST_CASE("a worker that responds early gets the rest of the upload")
{
    broken_deployment fleet;
    auto const body = std::string("early");
    for (auto const vm : {vault, front})
    {
        CAPTURE(vm);
        fleet.vault_worker->set_reply(
            {send_bytes{
                 fmt::format("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n{}\r\n{}",
                             signed_fields, body)},
             pause_for{core::milliseconds(100)}, read_body{}});
        for (int i = 0; i < 3; ++i)
        {
            auto const id = fleet.next_id();
            auto upload = make_upload(id, long_upload);
            auto const sent = upload.body;
            auto const it = fleet.send(vm, std::move(upload));
            CHECK(it.status() == "200");
            CHECK(it.body() == body);
            CHECK(deployment::poll_until(
                [&] { return fleet.vault_worker->body_of(id) == sent; }));
            CHECK(fleet.vault_worker->arrivals(id) == 1);
        }
    }
}

// A sound response is complete however its connection ends after it, also when
// the worker has not read the upload and has reset the connection.
TEST_CASE("a sound response reaches the caller, however its connection ends")
{
    broken_deployment fleet;
    auto const content = sample_content();
    for (auto const vm : {vault, front})
    {
        for (auto const& sample : make_sound_responses(content))
        {
            for (bool const reads_upload : {true, false})
            {
                for (bool const resets : {false, true})
                {
                    CAPTURE(vm, sample.name, reads_upload, resets);
                    reply steps{send_bytes{sample.bytes}};
                    if (reads_upload)
                    {
                        steps.insert(steps.begin(), read_body{});
                    }
                    if (sample.ends_with_connection || !resets)
                    {
                        steps.emplace_back(send_fin{});
                    }
                    if (resets)
                    {
                        steps.emplace_back(send_reset{});
                    }
                    else
                    {
                        steps.emplace_back(await_close{});
                    }
                    fleet.vault_worker->set_reply(std::move(steps));
                    auto const id = fleet.next_id();
                    auto const it =
                        fleet.send(vm, make_upload(id, long_upload));
                    CAPTURE(it.bytes.substr(0, 400));
                    CHECK(it.ended);
                    CHECK(it.status() == std::to_string(sample.status));
                    CHECK(it.body() ==
                          (sample.has_body ? content.body : std::string()));
                    CHECK(it.bytes.find("Response-Signature: s." + id) !=
                          std::string::npos);
                    CHECK(fleet.vault_worker->arrivals(id) == 1);
                }
            }
        }
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
