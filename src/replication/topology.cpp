// Ranks the nodes of each data centre by hash and builds the tree over them.
#include "replication/topology.hpp"

#include <algorithm>

#include <boost/container_hash/hash.hpp>

namespace yuccafall::replication {

namespace {

using ranking = std::vector<core::endpoint>;

std::size_t rank_hash(core::endpoint const& it)
{
    return boost::hash<std::string>()(core::to_string(it));
}

std::map<core::data_centre, ranking>
rank_nodes(node_location const& self, std::vector<node_location> const& nodes)
{
    std::map<core::data_centre, std::set<core::endpoint>> sets;
    sets[self.data_centre].insert(self.control);
    for (auto const& it : nodes)
    {
        sets[it.data_centre].insert(it.control);
    }
    std::map<core::data_centre, ranking> out;
    for (auto const& [data_centre, set] : sets)
    {
        auto& ranked_nodes = out[data_centre];
        ranked_nodes.assign(set.begin(), set.end());
        std::sort(ranked_nodes.begin(), ranked_nodes.end(),
                  [](auto const& a, auto const& b) {
                      return std::pair(rank_hash(a), a) <
                             std::pair(rank_hash(b), b);
                  });
    }
    return out;
}

// Returns the positions, in the ranking of a data centre, of the two nodes from
// which the node at `position` receives changes.
std::pair<std::size_t, std::size_t> parents_of(std::size_t position)
{
    auto const group = (position - readers_per_data_centre) /
                       (readers_per_data_centre * fan_out);
    auto const first = group * readers_per_data_centre;
    return {first, first + 1};
}

void add_remote_sources(node_role& to, std::size_t position,
                        core::data_centre const& own_data_centre,
                        std::map<core::data_centre, ranking> const& rankings)
{
    if (rankings.size() < 2)
    {
        return;
    }
    // The search starts with the data centre that follows this node's own, so
    // that connections are spread evenly over the data centres.
    auto it = rankings.upper_bound(own_data_centre);
    auto const source_count =
        to.reads_store ? std::min(max_peer_data_centres, rankings.size() - 1)
                       : 1;
    auto const skipped = to.reads_store ? 0 : position % (rankings.size() - 1);
    std::size_t seen = 0;
    while (seen < source_count + skipped)
    {
        it = it == rankings.end() ? rankings.begin() : it;
        if (it->first != own_data_centre && seen++ >= skipped)
        {
            auto const& ranked_nodes = it->second;
            to.sources.insert(
                ranked_nodes[position % std::min(ranked_nodes.size(),
                                                 readers_per_data_centre)]);
        }
        ++it;
    }
}

} // namespace

node_role role_of(node_location const& self,
                  std::vector<node_location> const& nodes)
{
    auto const rankings = rank_nodes(self, nodes);
    auto const& own_ranking = rankings.at(self.data_centre);
    auto const position = static_cast<std::size_t>(
        std::find(own_ranking.begin(), own_ranking.end(), self.control) -
        own_ranking.begin());
    node_role out;
    out.reads_store = position < readers_per_data_centre;
    if (out.reads_store)
    {
        out.sources.insert(own_ranking.begin(),
                           own_ranking.begin() + static_cast<long>(std::min(
                                                     own_ranking.size(),
                                                     readers_per_data_centre)));
    }
    else
    {
        auto const [first, second] = parents_of(position);
        out.sources.insert(own_ranking[first]);
        out.sources.insert(own_ranking[second]);
    }
    add_remote_sources(out, position, self.data_centre, rankings);
    out.sources.erase(self.control);
    return out;
}

} // namespace yuccafall::replication
