// The units that more than one component uses, and the clock that all
// components read.
#ifndef YUCCAFALL_CORE_UNITS_HPP
#define YUCCAFALL_CORE_UNITS_HPP

#include <chrono>
#include <cstdint>

#include "core/strong.hpp"

namespace yuccafall::core {

using slot_count = strong<struct slot_count_tag, std::uint32_t>;
using connection_count = strong<struct connection_count_tag, std::uint32_t>;
using queue_length = strong<struct queue_length_tag, std::uint32_t>;
using node_count = strong<struct node_count_tag, std::uint64_t>;
using byte_count = strong<struct byte_count_tag, std::uint64_t>;
using bytes_per_second = strong<struct bytes_per_second_tag, std::uint64_t>;
// A frequency in thousandths of an event a second.
using millihertz = strong<struct millihertz_tag, std::uint32_t>;
using weight = strong<struct weight_tag, std::uint32_t>;
// The number of upstreams that a node may try for one request.
using attempt_count = strong<struct attempt_count_tag, std::uint32_t>;
// The priority of a request; 0 is the most urgent.
using rank = strong<struct rank_tag, std::uint32_t>;
using percentage = strong<struct percentage_tag, std::uint32_t>;

// A monotonic clock that also advances while the VM is suspended, unlike
// std::chrono::steady_clock, so that a process that resumes late sees how long
// it was suspended.
struct boot_clock
{
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<boot_clock>;
    static constexpr bool is_steady = true;

    static time_point now() noexcept;
};

using instant = boot_clock::time_point;
using duration = boot_clock::duration;
using milliseconds = std::chrono::milliseconds;

} // namespace yuccafall::core

#endif
