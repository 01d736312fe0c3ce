// The event queue and the clock of the simulation. Events run in the order of
// their times.
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

    void schedule_after(core::duration delay, std::function<void()> action)
    {
        schedule_at(now_ + delay, std::move(action));
    }

    void schedule_at(core::instant when, std::function<void()> action)
    {
        events_.push({when, next_sequence_++, std::move(action)});
    }

    // Runs events until the queue is empty.
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
        // Events of the same time run in the order in which they were added.
        std::uint64_t sequence;
        std::function<void()> action;

        // std::priority_queue takes the greatest element first, so the earlier
        // event is the greater one.
        friend bool operator<(event const& a, event const& b)
        {
            return std::tie(b.when, b.sequence) < std::tie(a.when, a.sequence);
        }
    };

    // The clock does not start at zero, because parts of the simulated nodes'
    // code treat a time of zero as "never".
    core::instant now_{std::chrono::hours(1)};
    std::uint64_t next_sequence_ = 0;
    std::priority_queue<event> events_;
};

} // namespace yuccafall::bench::model

#endif
