// The services and the VMs of the soak test.
#ifndef YUCCAFALL_BENCH_SOAK_SOAK_DEPLOYMENT_HPP
#define YUCCAFALL_BENCH_SOAK_SOAK_DEPLOYMENT_HPP

#include <cstddef>
#include <cstdint>
#include <vector>

#include "core/units.hpp"
#include "stand_ins/deployment.hpp"

namespace yuccafall::bench::soak {

// The rate that a cold worker takes, and the number of requests in any one
// second above which it crashes.
constexpr double cold_per_s = 16;
constexpr std::size_t max_cold_arrivals = 16 * 3 / 2 + 8;
constexpr core::milliseconds cold_time{3'000};

// Returns the routes of a configuration. An odd configuration number adds one
// more route. The services have a cold rate if workers become cold.
std::vector<stand_ins::route_options>
make_routes(std::uint64_t configuration_number, bool has_cold_workers);

std::vector<stand_ins::vm_options> make_vms(std::size_t n);

} // namespace yuccafall::bench::soak

#endif
