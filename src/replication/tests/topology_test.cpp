// Tests which nodes read the store and which nodes each node gets changes from.
#include <algorithm>

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include "replication/topology.hpp"

using namespace yuccafall;
using namespace yuccafall::replication;

namespace {

std::vector<node_location> make_nodes(std::size_t data_centres,
                                      std::size_t nodes)
{
    std::vector<node_location> out;
    for (std::size_t d = 0; d < data_centres; ++d)
    {
        for (std::size_t n = 0; n < nodes; ++n)
        {
            node_location it;
            it.control.address = core::ip_address(
                fmt::format("10.{}.{}.{}", d, n / 200, n % 200 + 1));
            it.control.port = core::port_number(7000);
            it.data_centre = core::data_centre(fmt::format("dc-{}", d));
            out.push_back(std::move(it));
        }
    }
    return out;
}

} // namespace

TEST_CASE("each data centre has two readers and the other nodes have sources")
{
    auto const nodes = make_nodes(3, 5);
    for (auto const& self : nodes)
    {
        auto const it = role_of(self, nodes);
        REQUIRE(it.sources.count(self.control) == 0);
        std::size_t same_data_centre = 0;
        for (auto const& n : nodes)
        {
            same_data_centre += n.data_centre == self.data_centre &&
                                it.sources.count(n.control) != 0;
        }
        REQUIRE(same_data_centre == (it.reads_store ? 1 : 2));
        REQUIRE(it.sources.size() == 3);
    }
    auto const readers =
        std::count_if(nodes.begin(), nodes.end(), [&](auto const& n) {
            return role_of(n, nodes).reads_store;
        });
    REQUIRE(readers == 6);
}

// Guards against a topology that does not scale to 5,500 nodes: the number of
// store calls may grow only with the number of data centres, and the load of
// one node must not grow with the number of nodes.
TEST_CASE("changes reach all 423 nodes of a data centre within three levels")
{
    auto const nodes = make_nodes(2, 423);
    std::map<core::endpoint, std::set<core::endpoint>> sources;
    std::map<core::endpoint, std::size_t> children;
    std::set<core::endpoint> reached;
    for (auto const& it : nodes)
    {
        auto const n = role_of(it, nodes);
        sources[it.control] = n.sources;
        REQUIRE(n.sources.size() <= 4);
        for (auto const& s : n.sources)
        {
            ++children[s];
        }
        if (n.reads_store)
        {
            reached.insert(it.control);
        }
    }
    REQUIRE(reached.size() == 4);
    for (int level = 0; level < 3; ++level)
    {
        auto const before = reached;
        for (auto const& it : nodes)
        {
            for (auto const& s : sources[it.control])
            {
                if (before.count(s) != 0)
                {
                    reached.insert(it.control);
                }
            }
        }
    }
    REQUIRE(reached.size() == nodes.size());
}

TEST_CASE("a single node reads the store")
{
    node_location const self{
        {core::ip_address("10.0.0.1"), core::port_number(1)},
        core::data_centre("a")};
    auto const it = role_of(self, {});
    REQUIRE(it.reads_store);
    REQUIRE(it.sources.empty());
}
