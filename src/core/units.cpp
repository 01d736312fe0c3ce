// Reads CLOCK_BOOTTIME.
#include "core/units.hpp"

#include <ctime>

namespace yuccafall::core {

boot_clock::time_point boot_clock::now() noexcept
{
    timespec it{};
    clock_gettime(CLOCK_BOOTTIME, &it);
    return time_point(std::chrono::seconds(it.tv_sec) +
                      std::chrono::nanoseconds(it.tv_nsec));
}

} // namespace yuccafall::core
