// Tests the view that follows from the list of workers and the evacuations.
#include <algorithm>

#include <catch2/catch.hpp>

#include "node/traffic_view_builder.hpp"

using namespace yuccafall;
using namespace yuccafall::membership;
using node::traffic_view_builder;

namespace {

core::instant const now(std::chrono::hours(1));

// A node's knowledge, and the view that follows from it.
struct fixture
{
    worker_directory directory;
    evacuations evacuated;
    // The node is beside the worker at 127.0.0.1.
    core::endpoint local_worker{core::ip_address("127.0.0.1"),
                                core::port_number(80)};

    // The worker listens at 127.0.0.`vm`.
    void list(std::string const& id, char const* service, char const* zone,
              int vm, worker_state state = worker_state::ready)
    {
        worker_entry it;
        it.id = core::upstream_id(id);
        it.service = core::service_name(service);
        it.data_centre = core::data_centre(zone);
        it.address = {core::ip_address("127.0.0." + std::to_string(vm)),
                      core::port_number(80)};
        it.slots = core::slot_count(6);
        it.state = state;
        directory.handle(entry_written{it, core::revision(++revision_)}, now);
    }
    void evacuate(char const* zone)
    {
        evacuated.handle(evacuation_written{core::data_centre(zone),
                                            core::revision(++revision_)},
                         now);
    }
    void take_back(char const* zone)
    {
        evacuated.handle(evacuation_deleted{core::data_centre(zone)}, now);
    }
    std::shared_ptr<ingress::traffic_view const> view() const
    {
        return traffic_view_builder()
            .workers(directory, evacuated, core::port_number(90))
            .local_workers(directory, evacuated, local_worker)
            .build();
    }
    // Returns the ids of the workers that may get calls of the service.
    std::vector<std::string> upstreams(char const* service) const
    {
        std::vector<std::string> out;
        auto const it = view();
        auto const found = it->upstreams.find(core::service_name(service));
        if (found != it->upstreams.end())
        {
            for (auto const& i : found->second)
            {
                out.push_back(i.id.value());
            }
        }
        return out;
    }

private:
    std::uint64_t revision_ = 0;
};

using ids = std::vector<std::string>;

fixture three_data_centres()
{
    fixture it;
    it.list("a1", "shop", "a", 1);
    it.list("a2", "desk", "a", 2);
    it.list("b1", "shop", "b", 3);
    it.list("c1", "shop", "c", 4);
    return it;
}

} // namespace

// Guards against requests that still reach an evacuated data centre, and
// against a retry budget that shrinks with an evacuation although the nodes
// there still serve callers.
TEST_CASE("workers of evacuated data centres get no calls and their nodes stay")
{
    auto it = three_data_centres();
    REQUIRE(it.upstreams("shop") == ids{"a1", "b1", "c1"});
    it.evacuate("a");
    REQUIRE(it.upstreams("shop") == ids{"b1", "c1"});
    REQUIRE(it.view()->nodes == core::node_count(4));
    REQUIRE(it.view()->local_workers.size() == 1);
    REQUIRE(it.view()->local_workers.front().evacuated);
    REQUIRE_FALSE(it.view()->local_workers.front().draining);
    // Two at once.
    it.evacuate("c");
    REQUIRE(it.upstreams("shop") == ids{"b1"});
    it.take_back("a");
    REQUIRE(it.upstreams("shop") == ids{"a1", "b1"});
    REQUIRE_FALSE(it.view()->local_workers.front().evacuated);
    it.take_back("c");
    REQUIRE(it.upstreams("shop") == ids{"a1", "b1", "c1"});
    REQUIRE(it.view()->evacuated_upstreams.empty());
}

// Guards against a last resort: calls of a service that has no worker elsewhere
// must be refused.
TEST_CASE("a service in an evacuated data centre alone has no upstream")
{
    auto it = three_data_centres();
    it.evacuate("a");
    REQUIRE(it.upstreams("desk").empty());
    REQUIRE(
        it.view()->evacuated_upstreams.at(core::service_name("desk")).size() ==
        1);
    it.evacuate("b");
    it.evacuate("c");
    REQUIRE(it.view()->upstreams.empty());
    REQUIRE(it.view()->nodes == core::node_count(4));
    // A data centre without workers, or that does not exist, changes nothing.
    auto other = three_data_centres();
    other.evacuate("nowhere");
    REQUIRE(other.upstreams("shop") == ids{"a1", "b1", "c1"});
}

// Guards against workers that get calls because they were listed after the
// evacuation, as in a release, a rolling stop or a change of the configuration.
TEST_CASE("a change of the workers does not end an evacuation")
{
    auto it = three_data_centres();
    it.evacuate("a");
    // A release replaces the worker at the same address.
    it.list("a1-new", "shop", "a", 1);
    it.directory.handle(entry_removed{core::upstream_id("a1")}, now);
    REQUIRE(it.upstreams("shop") == ids{"b1", "c1"});
    auto const released = it.view();
    REQUIRE_FALSE(released->local_workers.empty());
    for (auto const& worker : released->local_workers)
    {
        REQUIRE(worker.evacuated);
    }
    // A rolling stop drains a worker there and one elsewhere.
    it.list("a1-new", "shop", "a", 1, worker_state::draining);
    it.list("b1", "shop", "b", 3, worker_state::draining);
    REQUIRE(it.upstreams("shop") == ids{"c1"});
    it.list("a1-new", "shop", "a", 1);
    it.list("b1", "shop", "b", 3);
    REQUIRE(it.upstreams("shop") == ids{"b1", "c1"});
    // The configuration stops and starts to name a service.
    it.directory.handle(services_named{{core::service_name("desk")}}, now);
    REQUIRE(it.upstreams("desk").empty());
    it.directory.handle(services_named{{core::service_name("desk"),
                                        core::service_name("shop")}},
                        now);
    REQUIRE(it.upstreams("shop") == ids{"b1", "c1"});
    it.take_back("a");
    REQUIRE(it.upstreams("shop") == ids{"a1-new", "b1", "c1"});
}

// Guards against a view that depends on whether the evacuation or the worker's
// entry arrived first.
TEST_CASE("the view does not depend on the order of the events")
{
    std::vector<int> order{0, 1, 2, 3, 4, 5};
    do
    {
        fixture it;
        for (auto const step : order)
        {
            switch (step)
            {
            case 0:
                it.list("a1", "shop", "a", 1);
                break;
            case 1:
                it.list("b1", "shop", "b", 2);
                break;
            case 2:
                it.list("c1", "shop", "c", 3);
                break;
            case 3:
                it.evacuate("a");
                break;
            case 4:
                it.evacuate("b");
                break;
            default:
                it.directory.handle(
                    services_named{{core::service_name("shop")}}, now);
            }
        }
        REQUIRE(it.upstreams("shop") == ids{"c1"});
        REQUIRE(it.view()->nodes == core::node_count(3));
        REQUIRE(it.view()->local_workers.front().evacuated);
    } while (std::next_permutation(order.begin(), order.end()));
}
