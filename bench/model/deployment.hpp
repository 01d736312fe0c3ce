// What the model plays: data centres, services, routes and callers, with the
// patterns of load that the decisions answer.
#ifndef YUCCAFALL_BENCH_MODEL_DEPLOYMENT_HPP
#define YUCCAFALL_BENCH_MODEL_DEPLOYMENT_HPP

#include <string>
#include <string_view>
#include <vector>

#include "core/ids.hpp"
#include "core/units.hpp"
#include "routing/configuration.hpp"

namespace yuccafall::bench::model {

struct service
{
    core::service_name name;
    // In each data centre.
    std::vector<std::size_t> workers;
    // How many times longer than usual work takes, by worker in turn.
    std::vector<double> speeds;
};

// A worker's calls to other services while it runs one request, in sequence.
struct nested_calls
{
    // Index into deployment::requests.
    std::size_t request = 0;
    std::size_t times = 0;
    // Of the requests that make them.
    double share = 0;
};

struct request_kind
{
    routing::route route;
    // Mean of a lognormal distribution, and its sigma.
    double work_ms = 0;
    double spread = 0;
    core::milliseconds patience{0};
    // Mean; exponential. Zero for requests without a body.
    double body_bytes = 0;
    double answer_bytes = 0;
    // Of all requests of callers; 0 for kinds that only workers make.
    double part = 0;
    // Credit of an answer within the aim, and after it.
    double worth = 0;
    double late_worth = 0;
    std::uint32_t retries = 0;
    std::vector<nested_calls> calls;
};

struct trouble
{
    // Seconds of the day.
    double from_s = 0;
    double until_s = 0;
    // Requests come this many times as often.
    double demand = 1;
    // Part of the workers whose work takes this many times as long.
    double slow_share = 0;
    double slowdown = 1;
};

struct deployment
{
    std::vector<core::data_centre> data_centres;
    std::vector<service> services;
    std::vector<request_kind> requests;
    core::slot_count slots{6};
    // Mean requests of callers a second, over all data centres.
    double per_second = 0;
    // Share by which the rate swings, over this period.
    double swing = 0;
    double period_s = 15;
    core::milliseconds between_data_centres{4};
    // Of each VM.
    core::bytes_per_second link{125'000'000};
    // Neighbours slow this part of the time of a worker down so much, for
    // spells of this mean length.
    double noise_share = 0.15;
    double noise = 2.5;
    double noise_ms = 600;
    std::vector<trouble> troubles;
    double seconds = 20;
};

struct pattern
{
    std::string_view name;
    std::string_view summary;
    deployment (*make)();
};

std::vector<pattern> const& all_patterns();

} // namespace yuccafall::bench::model

#endif
