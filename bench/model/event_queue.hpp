// Simulated time: actions run in the order of their times.
#ifndef YUCCAFALL_BENCH_MODEL_EVENT_QUEUE_HPP
#define YUCCAFALL_BENCH_MODEL_EVENT_QUEUE_HPP

#include <cstdint>
#include <functional>
#include <queue>
#include <tuple>
#include <vector>

#include "core/units.hpp"

namespace yuccafall::bench::model {

class event_queue
{
public:
    core::instant now() const { return now_; }

    void after(core::duration delay, std::function<void()> action)
    {
        at(now_ + delay, std::move(action));
    }

    void at(core::instant when, std::function<void()> action)
    {
        events_.push({when, next_++, std::move(action)});
    }

    // Until nothing is left to do.
    void run()
    {
        while (!events_.empty())
        {
            auto const it = events_.top();
            events_.pop();
            now_ = it.when;
            it.action();
        }
    }

private:
    struct event
    {
        core::instant when;
        // Events of one time run in the order in which they were added.
        std::uint64_t serial;
        std::function<void()> action;

        friend bool operator<(event const& a, event const& b)
        {
            return std::tie(b.when, b.serial) < std::tie(a.when, a.serial);
        }
    };

    // Away from zero, which stands for "never" in some decisions.
    core::instant now_{std::chrono::hours(1)};
    std::uint64_t next_ = 0;
    std::priority_queue<event> events_;
};

} // namespace yuccafall::bench::model

#endif
