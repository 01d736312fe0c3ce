// Connects the parts of a simulation and collects their results.
#include "bench/model/simulation.hpp"

#include <memory>
#include <utility>
#include <vector>

#include "bench/model/caller_nodes.hpp"
#include "bench/model/clients.hpp"
#include "bench/model/distributions.hpp"
#include "bench/model/outages.hpp"
#include "bench/model/owner_nodes.hpp"
#include "bench/model/simulation_state.hpp"
#include "bench/model/worker_runs.hpp"

namespace yuccafall::bench::model {

namespace {

class simulation
{
public:
    simulation(deployment const& spec, policy const& rules, std::uint64_t seed)
        : state_(spec, rules, seed),
          caller_nodes_(state_,
                        [this](node& at, std::shared_ptr<call_state> const& it,
                               bool has_alternative) {
                            owner_nodes_.handle_offer(at, it, has_alternative);
                        }),
          owner_nodes_(state_, caller_nodes_,
                       {[this](node& at, core::call_id const& id) {
                            return outages_.reach_worker(at, id);
                        },
                        [this](node& at, core::call_id const& id) {
                            worker_runs_.start(at, id);
                        }}),
          worker_runs_(state_, caller_nodes_, owner_nodes_),
          outages_(state_.events, state_.spec, state_.rules, state_.nodes,
                   state_.upstreams,
                   {[this](node& at, admission::event const& it) {
                        owner_nodes_.handle_event(at, it);
                    },
                    [this](node& at, std::shared_ptr<call_state> const& call,
                           ingress::attempt_result const& it) {
                        owner_nodes_.send_attempt_result(at, call, it);
                    }}),
          clients_(state_, caller_nodes_)
    {}

    simulation_result run()
    {
        for (auto& it : state_.nodes)
        {
            it->history.emplace(state_.started_at);
        }
        clients_.start();
        outages_.start();
        state_.events.run();
        simulation_result out;
        clients_.measure(out);
        owner_nodes_.measure(out);
        worker_runs_.measure(out);
        out.refused_at_first_node = caller_nodes_.refused_at_first_node();
        out.messages = state_.network.messages();
        out.megabytes_between_data_centres =
            state_.network.cross_data_centre_bytes() / 1e6;
        out.busiest_to_mean = compare_workers();
        // This depends on the results of the clients.
        outages_.measure(out);
        return out;
    }

private:
    load_ratios compare_workers() const
    {
        load_ratio_means means;
        auto const windows = static_cast<std::size_t>(
            from_ms(1000 * state_.spec.duration_s) / shortest_window);
        for (auto const& [service, upstreams] : state_.upstreams)
        {
            std::vector<load_history const*> histories;
            for (auto const& it : upstreams)
            {
                histories.push_back(&*state_.nodes_by_id.at(it.id)->history);
            }
            means.add(histories, windows);
        }
        return means.result();
    }

    simulation_state state_;
    caller_nodes caller_nodes_;
    owner_nodes owner_nodes_;
    worker_runs worker_runs_;
    outages outages_;
    clients clients_;
};

} // namespace

request_stats simulation_result::total() const
{
    request_stats out;
    for (auto const& [route, it] : by_route)
    {
        out.asked += it.asked;
        out.in_aim += it.in_aim;
        out.late += it.late;
        out.refused += it.refused;
        out.failed += it.failed;
        out.possible_worth += it.possible_worth;
        out.earned_worth += it.earned_worth;
    }
    return out;
}

simulation_result run_simulation(deployment const& spec, policy const& rules,
                                 std::uint64_t seed)
{
    return simulation(spec, rules, seed).run();
}

} // namespace yuccafall::bench::model
