// Tests which ends of a worker's connection complete its response to a caller.
#include <string>
#include <vector>

#include "stand_ins/broken_responses/tests/broken_deployment.hpp"

using namespace yuccafall;
using namespace yuccafall::stand_ins;
using namespace yuccafall::stand_ins::tests;

namespace {

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
