// Implements the choice of the next fault.
#include "bench/soak/faults.hpp"

namespace yuccafall::bench::soak {

fault draw_fault(core::random_source& random, std::size_t vms,
                 soak_options const& options)
{
    auto const vm = random.below(vms);
    // Drawn apart, so that the other options keep their sequences.
    if (options.malformed_responses && random.below(4) == 0)
    {
        return worker_faulty{vm, stand_ins::worker_fault::malforms_responses};
    }
    switch (random.below(options.extended ? 13 : 9))
    {
    case 0:
        return node_killed{vm};
    case 1:
        return node_stopped{vm};
    case 2:
        return node_paused{vm};
    case 3:
        return store_faulty{random.below(2) == 0
                                ? stand_ins::store_mode::unavailable
                                : stand_ins::store_mode::unresponsive};
    case 4:
        return history_dropped{};
    case 5:
        return configuration_changed{};
    case 6:
        return worker_faulty{
            vm, random.below(2) == 0
                    ? stand_ins::worker_fault::drops_responses
                    : stand_ins::worker_fault::adds_content_encoding};
    case 7:
        return worker_crashed{vm};
    case 9:
        return node_reloaded{vm};
    case 10:
        return worker_limited{vm};
    case 11:
        return data_centre_evacuated{random.below(2) == 0 ? "a" : "b"};
    case 12:
        return worker_cold{vm};
    default:
        return worker_draining{vm};
    }
}

} // namespace yuccafall::bench::soak
