// Accumulates the load of workers in windows and compares the workers.
#include "bench/model/load_measures.hpp"

#include <algorithm>

namespace yuccafall::bench::model {

load_history::window& load_history::window_at(core::instant when)
{
    auto const index =
        static_cast<std::size_t>((when - start_) / shortest_window);
    if (windows_.size() <= index)
    {
        windows_.resize(index + 1);
    }
    return windows_[index];
}

void load_history::record_open_calls(std::size_t n, core::instant now)
{
    while (changed_at_ < now)
    {
        auto const index = (changed_at_ - start_) / shortest_window;
        auto const until = std::min<core::instant>(
            start_ + (index + 1) * shortest_window, now);
        window_at(changed_at_).open_call_seconds +=
            static_cast<double>(open_calls_) *
            std::chrono::duration<double>(until - changed_at_).count();
        changed_at_ = until;
    }
    open_calls_ = n;
}

void load_ratio_means::add(std::vector<load_history const*> const& workers,
                           std::size_t end)
{
    auto const add_windows = [&](std::size_t length, weighted_sum& out,
                                 double load_history::window::*load) {
        for (std::size_t first = 0; first + length <= end; first += length)
        {
            double busiest = 0;
            double total = 0;
            for (auto const* worker : workers)
            {
                auto const& windows = worker->windows();
                double sum = 0;
                for (auto i = first;
                     i < std::min(first + length, windows.size()); ++i)
                {
                    sum += windows[i].*load;
                }
                busiest = std::max(busiest, sum);
                total += sum;
            }
            // The ratio times the weight, which is the mean load, is the load
            // of the busiest worker.
            out.sum += busiest;
            out.weight += total / static_cast<double>(workers.size());
        }
    };
    for (std::size_t i = 0; i < window_lengths.size(); ++i)
    {
        add_windows(window_lengths[i], open_calls_[i],
                    &load_history::window::open_call_seconds);
        add_windows(window_lengths[i], arrivals_[i],
                    &load_history::window::arrivals);
    }
}

load_ratios load_ratio_means::result() const
{
    auto const mean = [](weighted_sum const& it) {
        return it.weight > 0 ? it.sum / it.weight : 1;
    };
    load_ratios out;
    std::transform(open_calls_.begin(), open_calls_.end(),
                   out.of_open_calls.begin(), mean);
    std::transform(arrivals_.begin(), arrivals_.end(), out.of_arrivals.begin(),
                   mean);
    return out;
}

} // namespace yuccafall::bench::model
