// Conversions of durations, and the distributions from which the simulation
// draws times and sizes.
#ifndef YUCCAFALL_BENCH_MODEL_DISTRIBUTIONS_HPP
#define YUCCAFALL_BENCH_MODEL_DISTRIBUTIONS_HPP

#include <cmath>

#include "core/random.hpp"
#include "core/units.hpp"

namespace yuccafall::bench::model {

inline core::duration from_ms(double it)
{
    return core::duration(static_cast<core::duration::rep>(it * 1e6));
}

inline double to_ms(core::duration it)
{
    return static_cast<double>(it.count()) / 1e6;
}

inline double exponential(core::random_source& random, double mean)
{
    return -mean * std::log(1 - random.unit());
}

// Draws from a lognormal distribution with the given mean. Sigma is the
// standard deviation of the logarithm.
inline double lognormal(core::random_source& random, double mean, double sigma)
{
    constexpr double pi = 3.14159265358979323846;
    auto const normal = std::sqrt(-2 * std::log(1 - random.unit())) *
                        std::cos(2 * pi * random.unit());
    return mean * std::exp(sigma * normal - sigma * sigma / 2);
}

} // namespace yuccafall::bench::model

#endif
