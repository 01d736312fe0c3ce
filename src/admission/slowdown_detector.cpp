// Implements the comparison of recent service times with the usual ones.
#include "admission/slowdown_detector.hpp"

#include <algorithm>
#include <numeric>

namespace yuccafall::admission {

namespace {

bool exceeds_slots(worker_load const& it)
{
    return it.running.value() + it.waiting.value() > it.slots.value();
}

} // namespace

void slowdown_detector::start(core::instant now)
{
    started_at_ = now;
    recent_.clear();
}

bool slowdown_detector::observe(answered_run const& it, core::instant now)
{
    if (it.service_time <= core::duration::zero() ||
        now - it.service_time < started_at_ ||
        (it.load && exceeds_slots(*it.load)))
    {
        return false;
    }
    auto const found = usual_.find(it.route);
    if (found == usual_.end())
    {
        if (usual_.size() >= settings_.max_routes)
        {
            usual_.clear();
            recent_.clear();
        }
        usual_.emplace(it.route, usual_time{it.service_time});
        return false;
    }
    auto& usual = found->second;
    auto const ratio = ratio_of(it.service_time, usual);
    if (usual.samples < settings_.min_samples)
    {
        learn(usual, ratio);
        return false;
    }
    recent_.push_back({it.route, ratio});
    if (recent_.size() <= settings_.recent_responses)
    {
        return is_slow();
    }
    auto const oldest = recent_.front();
    recent_.pop_front();
    if (is_slow())
    {
        return true;
    }
    learn(usual_.at(oldest.route), oldest.ratio);
    return false;
}

double slowdown_detector::ratio_of(core::duration service_time,
                                   usual_time const& usual) const
{
    return std::min(static_cast<double>(service_time.count()) /
                        static_cast<double>(usual.mean.count()),
                    settings_.max_ratio);
}

void slowdown_detector::learn(usual_time& usual, double ratio) const
{
    ++usual.samples;
    // The first responses have equal weights.
    auto const weight = std::max(settings_.sample_weight,
                                 1.0 / static_cast<double>(usual.samples));
    auto const mean = static_cast<double>(usual.mean.count());
    usual.mean = std::max(core::duration(static_cast<core::duration::rep>(
                              mean * (1 + weight * (ratio - 1)))),
                          core::duration(1));
}

bool slowdown_detector::is_slow() const
{
    // Responses that have not arrived yet count as usual ones.
    auto const missing = settings_.recent_responses - recent_.size();
    auto const sum = std::accumulate(
        recent_.begin(), recent_.end(), static_cast<double>(missing),
        [](double n, auto const& it) { return n + it.ratio; });
    return sum >= settings_.min_ratio *
                      static_cast<double>(settings_.recent_responses);
}

} // namespace yuccafall::admission
