// Random numbers for randomized decisions. Code that decides takes the random
// source by reference, so that a test can reproduce its decisions from a seed.
#ifndef YUCCAFALL_CORE_RANDOM_HPP
#define YUCCAFALL_CORE_RANDOM_HPP

#include <cstdint>
#include <random>

#include "core/units.hpp"

namespace yuccafall::core {

class random_source
{
public:
    explicit random_source(std::uint64_t seed) : engine_(seed) {}

    std::uint64_t next() { return engine_(); }

    // Returns a number in [0, bound), or 0 if the bound is 0. The distributions
    // of the standard library differ between implementations, so that one seed
    // would give different results; the number is therefore reduced here. The
    // bias is below 2^-32 for the bounds in use.
    std::uint64_t below(std::uint64_t bound)
    {
        return bound == 0 ? 0 : engine_() % bound;
    }

    // Returns a number in [0, 1).
    double unit() { return static_cast<double>(engine_() >> 11) * 0x1.0p-53; }

    // Returns a duration in [0, max_duration].
    duration up_to(duration max_duration)
    {
        auto const n = static_cast<std::uint64_t>(max_duration.count());
        return duration(static_cast<duration::rep>(below(n + 1)));
    }

private:
    std::mt19937_64 engine_;
};

} // namespace yuccafall::core

#endif
