// A deployment whose workers write their responses byte by byte, and what its
// callers may get from it. The nodes run as processes of the real program. Each
// request takes the whole path: a caller, its node, the node beside the worker,
// and the worker.
#ifndef YUCCAFALL_STAND_INS_BROKEN_RESPONSES_TESTS_BROKEN_DEPLOYMENT_HPP
#define YUCCAFALL_STAND_INS_BROKEN_RESPONSES_TESTS_BROKEN_DEPLOYMENT_HPP

#include <memory>
#include <string>
#include <utility>

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include "stand_ins/deployment.hpp"
#include "stand_ins/raw_caller.hpp"
#include "stand_ins/raw_worker.hpp"
#include "stand_ins/response_samples.hpp"

namespace yuccafall::stand_ins::tests {

// The node of this VM has a worker that no route uses.
inline constexpr std::size_t front = 0;
// The raw worker of this VM runs uploads and bookings.
inline constexpr std::size_t vault = 1;
// One of the two workers that run lookups is a raw one, that of this VM.
inline constexpr std::size_t broken_desk = 2;

// The time limit only ends a test that fails.
inline constexpr int route_timeout_ms = 20'000;
inline constexpr core::milliseconds caller_timeout{30'000};

// More than the kernel takes in on the way to a worker that does not read.
inline constexpr std::size_t long_upload = 8UL * 1024 * 1024;

inline std::string const signed_fields =
    "Attempt-Id: {id}\r\nResponse-Signature: s.{id}\r\n";

// The body is longer than several reads of the node.
inline response_content sample_content()
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

inline http::request make_upload(std::string const& id, std::size_t size)
{
    auto it = deployment::request("/upload/x", id, "POST");
    it.body = std::string(size, 'u');
    return it;
}

// The caller gets the node's own failure, which promises nothing, and nothing
// of the worker's response. The request has run once.
inline void require_failure(raw_result const& it, raw_worker const& worker,
                            std::string const& id)
{
    CAPTURE(it.bytes.substr(0, 400));
    CHECK(it.ended);
    CHECK(it.status() == "502");
    CHECK(it.body().empty());
    CHECK(it.bytes.find("Response-Signature") == std::string::npos);
    CHECK(worker.arrivals(id) == 1);
}

} // namespace yuccafall::stand_ins::tests

#endif
