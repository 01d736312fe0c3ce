// Implements the waits.
#include "bench/soak/pause.hpp"

#include <condition_variable>
#include <mutex>

namespace yuccafall::bench::soak {

void pause_for(core::duration duration)
{
    std::mutex mutex;
    // This is never notified, so that the wait lasts for the whole time.
    std::condition_variable condition;
    std::unique_lock lock(mutex);
    condition.wait_for(lock, duration, [] { return false; });
}

} // namespace yuccafall::bench::soak
