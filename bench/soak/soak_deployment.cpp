// Implements the services and the VMs of the soak test.
#include "bench/soak/soak_deployment.hpp"

#include <utility>

namespace yuccafall::bench::soak {

std::vector<stand_ins::route_options>
make_routes(std::uint64_t configuration_number, bool has_cold_workers)
{
    std::vector<stand_ins::route_options> out{
        {"/look/", "idempotent", "shop"}, {"/book/", "non_idempotent", "desk"}};
    if (configuration_number % 2 == 1)
    {
        out.push_back({"/extra/", "idempotent", "desk"});
    }
    for (auto& it : out)
    {
        it.cold_per_s = has_cold_workers ? cold_per_s : 0;
    }
    return out;
}

std::vector<stand_ins::vm_options> make_vms(std::size_t n)
{
    std::vector<stand_ins::vm_options> out;
    for (std::size_t i = 0; i < n; ++i)
    {
        stand_ins::vm_options it;
        it.data_centre = i % 2 == 0 ? "a" : "b";
        it.service = i % 3 == 0 ? "shop" : "desk";
        it.slots = 4;
        it.service_time = core::milliseconds(20);
        it.max_cold_arrivals = max_cold_arrivals;
        out.push_back(std::move(it));
    }
    return out;
}

} // namespace yuccafall::bench::soak
