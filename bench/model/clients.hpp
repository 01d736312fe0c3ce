// Simulates the clients, which send requests to the nodes of their data centre
// and retry those that got no response.
#ifndef YUCCAFALL_BENCH_MODEL_CLIENTS_HPP
#define YUCCAFALL_BENCH_MODEL_CLIENTS_HPP

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "bench/model/caller_nodes.hpp"
#include "bench/model/simulation_state.hpp"

namespace yuccafall::bench::model {

class clients
{
public:
    // The arguments must outlive this object.
    clients(simulation_state& state, caller_nodes& nodes);

    // Schedules the first requests.
    void start();

    // Fills in the results of a simulation that has ended.
    void measure(simulation_result& out) const;

private:
    // State of a caller's request over all its attempts.
    struct caller_request
    {
        std::size_t kind_index;
        std::size_t data_centre_index;
        double body_bytes;
        core::instant first_sent_at;
        // Index into simulation_result::by_second.
        std::size_t second;
        std::uint32_t retries_left;
    };

    // Returns the current rate of callers' requests in a data centre, in
    // requests per second. The rates of the data centres differ in phase.
    double arrival_rate(std::size_t data_centre_index) const;
    void schedule_arrival(std::size_t data_centre_index);
    void handle_arrival(std::size_t data_centre_index);
    void send_attempt(caller_request const& request);
    void handle_attempt_end(caller_request request,
                            call_outcome const& outcome);
    request_stats& stats_of(std::size_t kind_index);
    node* random_node(std::vector<node*> const& nodes);

    simulation_state* state_;
    caller_nodes* caller_nodes_;
    // The members of simulation_result with these names.
    std::map<std::string, request_stats> by_route_;
    std::vector<request_stats> by_second_;
};

} // namespace yuccafall::bench::model

#endif
