// Waits of the soak test.
#ifndef YUCCAFALL_BENCH_SOAK_PAUSE_HPP
#define YUCCAFALL_BENCH_SOAK_PAUSE_HPP

#include "core/units.hpp"

namespace yuccafall::bench::soak {

// Blocks the calling thread for this long.
void pause_for(core::duration duration);

} // namespace yuccafall::bench::soak

#endif
