// Defines a deployment to simulate: data centres, services, request kinds,
// callers and disturbances. A pattern is a named deployment, such as one with a
// burst of requests; the bench program selects it by that name.
//
// Callers here are clients outside of the deployment. The calls that workers
// send to other services are the nested calls.
#ifndef YUCCAFALL_BENCH_MODEL_DEPLOYMENT_HPP
#define YUCCAFALL_BENCH_MODEL_DEPLOYMENT_HPP

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/ids.hpp"
#include "core/units.hpp"
#include "core/warm_up_limits.hpp"
#include "routing/configuration.hpp"

namespace yuccafall::bench::model {

struct service
{
    core::service_name name;
    // Number of workers in each data centre.
    std::vector<std::size_t> workers;
    // Service times of the workers relative to those of the request kind; 1 is
    // the usual time. The factors are assigned to the workers of the service in
    // turn.
    std::vector<double> service_time_factors;
};

// Calls to another service that a worker makes one after the other while it
// runs a request.
struct nested_calls
{
    // Index into deployment::request_kinds.
    std::size_t kind_index = 0;
    std::size_t count = 0;
    // Probability that a request makes these calls.
    double probability = 0;
    // The calls are made at the same time instead.
    bool together = false;
};

struct request_kind
{
    routing::route route;
    // The service time has a lognormal distribution. These are its mean and the
    // standard deviation of its logarithm.
    double mean_service_time_ms = 0;
    double service_time_sigma = 0;
    // The caller waits for a response for this long, over all its attempts.
    core::milliseconds caller_timeout{0};
    // Mean of an exponential distribution; 0 for requests without a body.
    double mean_body_bytes = 0;
    // Size of the response's body.
    double response_bytes = 0;
    // Share of all requests of callers; 0 for kinds that only workers send.
    double share = 0;
    // Worth of a response within the route's target latency. The simulated
    // policies (the sets of enabled rules, see simulation.hpp) are compared by
    // the sum of the worths of the responses to callers, relative to the sum if
    // all responses came within the target latency.
    double worth = 0;
    // Worth of a response after the target latency.
    double late_worth = 0;
    // Maximum number of attempts after the first that a caller makes.
    std::uint32_t max_retries = 0;
    std::vector<nested_calls> calls;
};

// A change of the load or of the workers for a part of the simulated time.
struct disturbance
{
    // Simulated time since the start, in seconds.
    double start_s = 0;
    double end_s = 0;
    // The request rate is multiplied by this.
    double rate_factor = 1;
    // Probability that a worker is slowed down, and the factor by which its
    // service times grow.
    double slow_worker_probability = 0;
    double slowdown_factor = 1;
};

// How workers behave while they are cold.
struct cold_behaviour
{
    // The requests that a cold worker takes, and how long it is cold.
    core::warm_up_limits limits;
    // Service times of a cold worker, relative to the usual ones.
    double service_time_factor = 2;
    // A cold worker crashes if it gets more requests than this in any one
    // second. It returns cold after crash_duration.
    std::size_t max_arrivals = 0;
    core::milliseconds crash_duration{2'000};
};

// All workers are away for this part of the simulated time, in seconds since
// its start, and return cold.
struct power_cut
{
    double start_s = 0;
    double end_s = 0;
};

// A data centre is evacuated for this part of the simulated time. Its workers
// are cold at the end.
struct evacuation
{
    // Index into deployment::data_centres.
    std::size_t data_centre_index = 0;
    double start_s = 0;
    double end_s = 0;
};

struct deployment
{
    std::vector<core::data_centre> data_centres;
    std::vector<service> services;
    std::vector<request_kind> request_kinds;
    core::slot_count slots{6};
    // Mean number of callers' requests in a second, over all data centres.
    double requests_per_second = 0;
    // The request rate follows a sine wave. These are its amplitude relative to
    // the mean rate and its period.
    double rate_amplitude = 0;
    double rate_period_s = 15;
    // Callers' requests arrive in clumps, each at the nodes of one data centre
    // at the same time. The size of a clump has a geometric distribution with
    // this mean.
    double mean_clump_size = 1;
    core::milliseconds cross_data_centre_delay{4};
    // Rate of each VM's network link, in each direction.
    core::bytes_per_second link_bandwidth{125'000'000};
    // Neighbouring VMs slow a worker down for spells of time. These are the
    // probability that a spell is noisy, the factor by which the service times
    // grow during a noisy spell, and the mean length of a spell.
    double noise_probability = 0.15;
    double noise_factor = 2.5;
    double mean_noise_spell_ms = 600;
    // The nodes of workers also send load reports by the rules of
    // upstream::load_publisher, and not only with responses and refusals.
    bool publishes_load = false;
    std::vector<disturbance> disturbances;
    // Present if the services have a cold rate.
    std::optional<cold_behaviour> cold;
    // Each of the three needs `cold`.
    std::vector<power_cut> power_cuts;
    std::vector<evacuation> evacuations;
    // At these times, in seconds since the start, all workers become cold
    // without an event, also if they are cold.
    std::vector<double> cold_starts_s;
    // Callers send new requests for this long.
    double duration_s = 20;
};

struct pattern
{
    std::string_view name;
    std::string_view summary;
    deployment (*make)();
};

std::vector<pattern> const& all_patterns();

// 59 VMs, with requests that make nested calls and with load reports.
deployment make_uneven_workers();
// The patterns with cold workers.
deployment make_cold_workers();
deployment make_evacuation();
deployment make_second_cold_periods();

// Changes the number of workers to about the given one. Services keep their
// shares of the workers, each gets at least one, and the request rate changes
// in proportion.
deployment resize(deployment spec, std::size_t workers);

} // namespace yuccafall::bench::model

#endif
