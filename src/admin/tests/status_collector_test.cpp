// Tests which responses count as the status of a node.
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

#include "admin/status_collector.hpp"
#include "stand_ins/raw_worker.hpp"
#include "stand_ins/response_samples.hpp"

using namespace yuccafall;
using namespace yuccafall::admin;
using namespace yuccafall::stand_ins;

namespace {

constexpr char status_text[] =
    R"({"vm":"vm-1","data_centre":"a","version":5,"refused":0})";

// A node that writes its responses as the test says.
struct raw_node_fixture
{
    // The node closes the connection after the bytes.
    node_status collect(std::string const& bytes)
    {
        node.set_reply({send_bytes{bytes}, send_fin{}, await_close{}});
        return collect();
    }

    node_status collect()
    {
        boost::asio::io_context context(1);
        std::vector<node_status> out;
        std::make_shared<status_collector>(
            context,
            std::vector<node_address>{{node.local(), core::data_centre("a")}},
            faults, [&](std::vector<node_status> it) { out = std::move(it); })
            ->start();
        context.run();
        REQUIRE(out.size() == 1);
        return out.front();
    }

    std::uint64_t count_of(std::string const& fault) const
    {
        std::uint64_t out = 0;
        for (std::size_t i = 0; i < http::response_fault_count; ++i)
        {
            auto const it = static_cast<http::response_fault>(i);
            out += to_string(it) == fault ? faults->count_of(it) : 0;
        }
        return out;
    }

    raw_worker node{{core::ip_address("127.0.0.1"), core::port_number(0)}};
    std::shared_ptr<http::response_fault_counters> faults =
        std::make_shared<http::response_fault_counters>();
};

} // namespace

// Guards against a rollout that counts as complete because of a response that
// the node has not sent.
TEST_CASE("a malformed status of a node is not used")
{
    raw_node_fixture it;
    std::map<std::string, std::uint64_t> counts;
    for (auto const& sample : make_broken_responses({"", status_text}))
    {
        CAPTURE(sample.name);
        CHECK_FALSE(it.collect(sample.bytes).responded);
        CHECK(it.count_of(sample.fault) == ++counts[sample.fault]);
    }
    it.node.set_reply(
        {send_bytes{std::string("HTTP/1.1 200 OK\r\n\r\n") + status_text},
         send_reset{}});
    CHECK_FALSE(it.collect().responded);
    CHECK(it.count_of("reset") == 1);
}

TEST_CASE("only a response with status 200 is the status of a node")
{
    raw_node_fixture it;
    for (auto const& sample : make_sound_responses({"", status_text}))
    {
        CAPTURE(sample.name);
        CHECK(it.collect(sample.bytes).responded ==
              (sample.status == 200 && sample.has_body));
    }
}
