// Counters that may be incremented on one thread while another one reads them
// for the metrics endpoint.
#ifndef YUCCAFALL_CORE_COUNTER_HPP
#define YUCCAFALL_CORE_COUNTER_HPP

#include <atomic>
#include <cstdint>

namespace yuccafall::core {

using counter = std::atomic<std::uint64_t>;

inline void add(counter& to, std::uint64_t n = 1)
{
    to.fetch_add(n, std::memory_order_relaxed);
}

inline std::uint64_t value_of(counter const& it)
{
    return it.load(std::memory_order_relaxed);
}

} // namespace yuccafall::core

#endif
