// A worker that is cold at times and crashes if it gets too many requests then.
#ifndef YUCCAFALL_BENCH_MODEL_COLD_WORKER_HPP
#define YUCCAFALL_BENCH_MODEL_COLD_WORKER_HPP

#include <deque>

#include "bench/model/deployment.hpp"

namespace yuccafall::bench::model {

class cold_worker
{
public:
    explicit cold_worker(cold_behaviour const& behaviour)
        : behaviour_(behaviour)
    {}

    bool is_away(core::instant now) const { return now < away_until_; }
    bool is_cold(core::instant now) const { return now < cold_until_; }
    // Returns how much longer the worker is cold, or zero.
    core::milliseconds cold_remaining(core::instant now) const;
    // Returns the factor by which being cold lengthens a run that starts now.
    double service_time_factor(core::instant now) const;

    void become_cold(core::instant now);
    // The worker is away until this time and cold after that.
    void crash(core::instant returns_at);
    // Records a request. Returns whether the worker crashes because of it.
    bool record_request(core::instant now);

private:
    cold_behaviour behaviour_;
    core::instant away_until_{};
    core::instant cold_until_{};
    // When requests arrived in the last second, while the worker was cold.
    std::deque<core::instant> arrivals_;
};

} // namespace yuccafall::bench::model

#endif
