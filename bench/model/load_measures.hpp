// Measures how evenly the calls of a service are spread over its workers.
#ifndef YUCCAFALL_BENCH_MODEL_LOAD_MEASURES_HPP
#define YUCCAFALL_BENCH_MODEL_LOAD_MEASURES_HPP

#include <array>
#include <cstdint>
#include <vector>

#include "core/units.hpp"

namespace yuccafall::bench::model {

// Lengths of the windows in which workers are compared, as multiples of the
// shortest one: 0.2, 1 and 5 s.
constexpr core::milliseconds shortest_window{200};
constexpr std::array<std::size_t, 3> window_lengths{1, 5, 25};

// The load of one worker by time, in windows of shortest_window.
class load_history
{
public:
    explicit load_history(core::instant start)
        : start_(start), changed_at_(start)
    {}

    // Records the number of calls that run or wait at the worker from now on.
    void record_open_calls(std::size_t n, core::instant now);
    void record_arrival(core::instant now) { window_at(now).arrivals += 1; }

    struct window
    {
        // Mean number of open calls, times the length of the window in seconds.
        double open_call_seconds = 0;
        double arrivals = 0;
    };
    std::vector<window> const& windows() const { return windows_; }

private:
    window& window_at(core::instant when);

    core::instant start_;
    core::instant changed_at_;
    std::size_t open_calls_ = 0;
    std::vector<window> windows_;
};

// Load of the busiest worker of a service divided by the mean over the workers
// of the service, by the length of the window. The ratios are means over the
// windows and the services, weighted by their load.
struct load_ratios
{
    std::array<double, window_lengths.size()> of_open_calls{};
    std::array<double, window_lengths.size()> of_arrivals{};
};

// Accumulates the ratios of the services.
class load_ratio_means
{
public:
    // Adds the workers of one service. Windows after `end` windows are ignored.
    void add(std::vector<load_history const*> const& workers, std::size_t end);
    load_ratios result() const;

private:
    struct weighted_sum
    {
        double sum = 0;
        double weight = 0;
    };
    std::array<weighted_sum, window_lengths.size()> open_calls_{};
    std::array<weighted_sum, window_lengths.size()> arrivals_{};
};

} // namespace yuccafall::bench::model

#endif
