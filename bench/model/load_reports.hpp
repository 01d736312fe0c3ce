// The load reports of the nodes beside workers.
#ifndef YUCCAFALL_BENCH_MODEL_LOAD_REPORTS_HPP
#define YUCCAFALL_BENCH_MODEL_LOAD_REPORTS_HPP

#include "bench/model/simulation_state.hpp"

namespace yuccafall::bench::model {

balancing::load_report make_load_report(simulation_state const& state,
                                        node const& worker_node);

// Sends the load of the worker by the rules of upstream::load_publisher.
void publish_load(simulation_state& state, node& worker_node);

} // namespace yuccafall::bench::model

#endif
