// Implements the cold times and the crashes of a simulated worker.
#include "bench/model/cold_worker.hpp"

#include <algorithm>

namespace yuccafall::bench::model {

core::milliseconds cold_worker::cold_remaining(core::instant now) const
{
    return std::chrono::duration_cast<core::milliseconds>(
        std::max(cold_until_ - now, core::duration::zero()));
}

double cold_worker::service_time_factor(core::instant now) const
{
    return is_cold(now) ? behaviour_.service_time_factor : 1;
}

void cold_worker::become_cold(core::instant now)
{
    if (!is_cold(now))
    {
        arrivals_.clear();
    }
    cold_until_ = now + behaviour_.limits.duration;
}

void cold_worker::crash(core::instant returns_at)
{
    away_until_ = returns_at;
    cold_until_ = returns_at + behaviour_.limits.duration;
    arrivals_.clear();
}

bool cold_worker::record_request(core::instant now)
{
    if (!is_cold(now))
    {
        return false;
    }
    arrivals_.push_back(now);
    while (arrivals_.front() <= now - std::chrono::seconds(1))
    {
        arrivals_.pop_front();
    }
    return arrivals_.size() > behaviour_.max_arrivals;
}

} // namespace yuccafall::bench::model
