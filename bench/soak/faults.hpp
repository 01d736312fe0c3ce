// The faults of the soak test, and how the next one is chosen.
#ifndef YUCCAFALL_BENCH_SOAK_FAULTS_HPP
#define YUCCAFALL_BENCH_SOAK_FAULTS_HPP

#include <cstddef>
#include <string>
#include <variant>

#include "bench/soak/soak.hpp"
#include "core/random.hpp"
#include "stand_ins/deployment.hpp"

namespace yuccafall::bench::soak {

// The types below are the faults. Most faults end after a random time. The two
// types without members, history_dropped and configuration_changed, need no
// end.

// The node's process gets SIGKILL, and it is started again later.
struct node_killed
{
    std::size_t vm;
};
// The node's process gets SIGTERM, and it is started again later.
struct node_stopped
{
    std::size_t vm;
};
// The node's process gets SIGSTOP, and it is resumed later.
struct node_paused
{
    std::size_t vm;
};
// The store responds with 503 to all requests (unavailable) or does not respond
// (unresponsive).
struct store_faulty
{
    stand_ins::store_mode mode;
};
// The store drops its history, so that it responds with 410 to watches of older
// revisions.
struct history_dropped
{};
struct configuration_changed
{};
// The worker closes connections without a response (drops_responses), adds a
// content encoding to its responses (adds_content_encoding) or malforms them
// (malforms_responses).
struct worker_faulty
{
    std::size_t vm;
    stand_ins::worker_fault kind;
};
// The worker closes its port and its connections, and it listens again later.
struct worker_crashed
{
    std::size_t vm;
};
// The platform lists the worker as draining, and as ready again later.
struct worker_draining
{
    std::size_t vm;
};
// The node's process gets SIGHUP, also while it is being stopped.
struct node_reloaded
{
    std::size_t vm;
};
// The worker states a limit on its rate for longer than the other faults last.
struct worker_limited
{
    std::size_t vm;
};
// The operator evacuates the data centre, and takes that back later.
struct data_centre_evacuated
{
    std::string data_centre;
};
// The worker becomes cold without an event. Its entry shows it later.
struct worker_cold
{
    std::size_t vm;
};
using fault =
    std::variant<node_killed, node_stopped, node_paused, store_faulty,
                 history_dropped, configuration_changed, worker_faulty,
                 worker_crashed, worker_draining, node_reloaded, worker_limited,
                 data_centre_evacuated, worker_cold>;

// Draws a fault of a deployment with this number of VMs.
fault draw_fault(core::random_source& random, std::size_t vms,
                 soak_options const& options);

} // namespace yuccafall::bench::soak

#endif
