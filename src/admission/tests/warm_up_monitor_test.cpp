// Tests when a worker counts as cold, and that it then gets no more calls than
// it can take.
#include <algorithm>
#include <deque>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include "admission/slot_queue.hpp"
#include "admission/slowdown_detector.hpp"
#include "admission/warm_up_monitor.hpp"

using namespace yuccafall;
using namespace yuccafall::admission;
using core::milliseconds;

namespace {

constexpr core::warm_up_limits limits{core::millihertz(16'000),
                                      milliseconds(3'000)};

core::instant at(long ms)
{
    return core::instant(std::chrono::hours(1)) + milliseconds(ms);
}

bool requests_health(std::vector<warm_up_action> const& it)
{
    return std::any_of(it.begin(), it.end(), [](auto const& a) {
        return std::holds_alternative<request_health>(a);
    });
}

struct fixture
{
    warm_up_monitor monitor;

    fixture() { handle(0, service_configured{limits, true}); }

    // Returns whether the event causes a health request.
    bool handle(long ms, warm_up_event const& it)
    {
        return requests_health(monitor.handle(it, at(ms)));
    }
    std::string_view state() const { return name_of(monitor.state()); }
    bool is_limited() const
    {
        return core::limit_of(monitor.rate_in_force()).has_value();
    }
    // Makes the worker warm by a health response at the time.
    void make_warm(long ms)
    {
        REQUIRE(handle(ms, call_arrived{}));
        REQUIRE_FALSE(handle(ms + 1, health_answered{}));
        REQUIRE(state() == "warm");
    }
};

} // namespace

// Guards against health requests, waits or log lines for the workers of a
// service that states no cold rate.
TEST_CASE("a service without a cold rate causes no action")
{
    warm_up_monitor monitor;
    for (warm_up_event const& it : std::vector<warm_up_event>{
             service_configured{std::nullopt, true},
             worker_listed{core::worker_start(1), milliseconds(500)},
             worker_listed{core::worker_start(2), milliseconds(0)},
             state_doubted{warm_up_source::connection_lost}, call_arrived{},
             calls_wait{}, call_answered{}, warm_up_timer_expired{}})
    {
        REQUIRE(monitor.handle(it, at(5'000)).empty());
        REQUIRE_FALSE(monitor.next_timer());
        REQUIRE_FALSE(core::limit_of(monitor.rate_in_force()));
    }
}

// Guards against a node that restarts and sends a cold worker as many calls as
// it has slots.
TEST_CASE("a worker is limited until a health response states that it is warm")
{
    fixture it;
    REQUIRE(it.is_limited());
    REQUIRE(it.handle(10, call_arrived{}));
    REQUIRE_FALSE(it.handle(11, call_arrived{}));
    REQUIRE(it.is_limited());
    it.handle(12, health_answered{});
    REQUIRE_FALSE(it.is_limited());
}

TEST_CASE("a cold worker is limited for the time that it states")
{
    fixture it;
    REQUIRE(it.handle(0, call_arrived{}));
    it.handle(2, health_answered{milliseconds(700)});
    REQUIRE(it.monitor.next_timer() == at(702));
    REQUIRE_FALSE(it.handle(701, warm_up_timer_expired{}));
    REQUIRE(it.state() == "cold");
    REQUIRE_FALSE(it.handle(702, warm_up_timer_expired{}));
    REQUIRE(it.state() == "warm");
}

// Guards against a node that restarts during an outage of the store and knows
// the cold rate only from offers: it has no path to ask at.
TEST_CASE("limits of another node hold until this one has a configuration")
{
    fixture it;
    it.monitor = warm_up_monitor();
    REQUIRE_FALSE(it.handle(0, limits_offered{limits}));
    REQUIRE_FALSE(it.handle(0, call_arrived{}));
    REQUIRE(it.is_limited());
    REQUIRE(it.handle(5, service_configured{limits, true}));
    it.handle(6, health_answered{});
    REQUIRE_FALSE(it.is_limited());
    it.handle(7, service_configured{std::nullopt, true});
    REQUIRE_FALSE(it.handle(8, limits_offered{limits}));
    REQUIRE(it.state() == "no_cold_rate");
}

// Guards against a crash right after a health response that is forgotten, since
// the worker counts as warm at that moment.
TEST_CASE("a doubt soon after a health response takes effect later")
{
    fixture it;
    it.make_warm(100);
    REQUIRE_FALSE(
        it.handle(200, state_doubted{warm_up_source::connection_lost}));
    REQUIRE(it.state() == "warm");
    REQUIRE(it.monitor.next_timer() == at(400));
    REQUIRE(it.handle(400, warm_up_timer_expired{}));
    REQUIRE(it.state() == "unknown");
}

// Guards against a slow response from before a crash that ends the cold rate of
// the worker after the crash.
TEST_CASE("a response may be from before a doubt that arose meanwhile")
{
    fixture it;
    REQUIRE(it.handle(0, call_arrived{}));
    it.handle(50, state_doubted{warm_up_source::connection_lost});
    SECTION("a late one does not count")
    {
        REQUIRE(it.handle(350, health_answered{}));
        REQUIRE(it.state() == "unknown");
    }
    SECTION("an early one counts until the worker can have returned")
    {
        REQUIRE_FALSE(it.handle(60, health_answered{}));
        REQUIRE(it.state() == "warm");
        REQUIRE(it.monitor.next_timer() == at(300));
    }
    SECTION("the cold time in it may be too short")
    {
        REQUIRE_FALSE(it.handle(60, health_answered{milliseconds(20)}));
        REQUIRE(it.state() == "unknown");
        REQUIRE(it.monitor.next_timer() == at(300));
    }
}

// Guards against a worker that becomes cold without a crash, just after it has
// stated that it is warm.
TEST_CASE("the end of an evacuation limits a worker that was just warm")
{
    fixture it;
    state_doubted const ended{warm_up_source::evacuation_ended};
    SECTION("after the response")
    {
        it.make_warm(100);
        REQUIRE_FALSE(it.handle(110, ended));
        REQUIRE(it.is_limited());
        REQUIRE(it.monitor.next_timer() == at(400));
        REQUIRE(it.handle(400, warm_up_timer_expired{}));
    }
    SECTION("while the response is on its way")
    {
        REQUIRE(it.handle(100, call_arrived{}));
        REQUIRE_FALSE(it.handle(101, ended));
        REQUIRE_FALSE(it.handle(102, health_answered{}));
        REQUIRE(it.is_limited());
        REQUIRE(it.handle(400, warm_up_timer_expired{}));
    }
}

// Guards against a flood of health requests, each of which costs the operator
// a third of a response, and against a warm worker that stays limited.
TEST_CASE("health requests are 300 ms apart and go on while calls wait")
{
    fixture it;
    REQUIRE(it.handle(0, call_arrived{}));
    REQUIRE_FALSE(it.handle(10, health_failed{}));
    REQUIRE_FALSE(it.monitor.next_timer());
    REQUIRE_FALSE(it.handle(20, calls_wait{}));
    REQUIRE(it.monitor.next_timer() == at(300));
    REQUIRE(it.handle(300, warm_up_timer_expired{}));
    REQUIRE(it.state() == "unknown");
}

// Guards against an old entry that limits a warm worker again and again.
TEST_CASE("an entry causes one health request for each change")
{
    fixture it;
    worker_listed const cold{core::worker_start(1), milliseconds(900)};
    REQUIRE_FALSE(it.handle(0, cold));
    it.make_warm(100);
    REQUIRE_FALSE(it.handle(500, cold));
    REQUIRE(it.state() == "warm");
    SECTION("a new start is news")
    {
        REQUIRE(it.handle(
            600, worker_listed{core::worker_start(2), milliseconds(900)}));
        REQUIRE(it.is_limited());
    }
    SECTION("a cold time after none is news")
    {
        it.handle(600, worker_listed{core::worker_start(1), milliseconds(0)});
        REQUIRE(it.state() == "warm");
        REQUIRE(it.handle(700, cold));
        REQUIRE(it.is_limited());
    }
}

TEST_CASE("a worker that has answered no call for seconds is in doubt")
{
    fixture it;
    it.make_warm(0);
    it.handle(1'000, call_answered{});
    REQUIRE_FALSE(it.handle(3'000, call_arrived{}));
    REQUIRE(it.handle(3'001, call_arrived{}));
}

// Guards against a worker that becomes cold without an event and keeps its full
// rate.
TEST_CASE("a worker that has become slow is limited if it states a cold time")
{
    fixture it;
    it.make_warm(0);
    REQUIRE(it.handle(1'000, service_slowed{}));
    REQUIRE_FALSE(it.is_limited());
    REQUIRE_FALSE(it.handle(1'002, health_answered{milliseconds(700)}));
    REQUIRE(it.state() == "cold");
    REQUIRE(it.monitor.next_timer() == at(1'702));
}

// Guards against a worker that is slow for another reason and is limited, or is
// asked again and again.
TEST_CASE("a slow worker that is not cold is only asked once in 5 s")
{
    fixture it;
    it.make_warm(0);
    REQUIRE_FALSE(it.handle(299, service_slowed{}));
    REQUIRE(it.handle(1'000, service_slowed{}));
    SECTION("and states that it is warm")
    {
        REQUIRE(it.monitor.handle(health_answered{}, at(1'002)).empty());
    }
    SECTION("and does not answer")
    {
        REQUIRE(it.monitor.handle(health_failed{}, at(1'400)).empty());
    }
    REQUIRE_FALSE(it.monitor.next_timer());
    REQUIRE_FALSE(it.handle(5'999, service_slowed{}));
    REQUIRE(it.handle(6'000, service_slowed{}));
    REQUIRE(it.state() == "warm");
}

// Guards against a worker that becomes cold again during its cold time or soon
// after it, and keeps its full rate until its entry shows that.
TEST_CASE("a worker that is slow after its cold time is asked within 5 s")
{
    fixture it;
    it.make_warm(0);
    REQUIRE(it.handle(1'000, service_slowed{}));
    it.handle(1'002, health_answered{milliseconds(700)});
    REQUIRE_FALSE(it.handle(1'600, service_slowed{}));
    it.handle(1'702, warm_up_timer_expired{});
    REQUIRE(it.state() == "warm");
    REQUIRE(it.handle(1'800, service_slowed{}));
    SECTION("and is limited if it states a cold time again")
    {
        it.handle(1'802, health_answered{milliseconds(500)});
        REQUIRE(it.state() == "cold");
        it.handle(2'302, warm_up_timer_expired{});
        REQUIRE(it.handle(2'400, service_slowed{}));
    }
    SECTION("and is asked every 5 s if it states none")
    {
        it.handle(1'802, health_answered{});
        REQUIRE_FALSE(it.handle(6'799, service_slowed{}));
        REQUIRE(it.handle(6'800, service_slowed{}));
    }
    SECTION("and is asked every 5 s if it does not answer")
    {
        it.handle(2'100, health_failed{});
        REQUIRE_FALSE(it.handle(6'799, service_slowed{}));
        REQUIRE(it.handle(6'800, service_slowed{}));
    }
}

// Guards against health requests that follow each other closely because the
// worker states very short cold times.
TEST_CASE("health requests after a cold time are 300 ms apart")
{
    fixture it;
    it.make_warm(0);
    REQUIRE(it.handle(1'000, service_slowed{}));
    it.handle(1'002, health_answered{milliseconds(10)});
    it.handle(1'012, warm_up_timer_expired{});
    REQUIRE_FALSE(it.handle(1'299, service_slowed{}));
    REQUIRE(it.handle(1'300, service_slowed{}));
}

// Guards against a crash that is forgotten because the worker was being asked
// for another reason.
TEST_CASE("a doubt takes effect while a slow worker is asked")
{
    fixture it;
    it.make_warm(0);
    REQUIRE(it.handle(1'000, service_slowed{}));
    it.handle(1'001, state_doubted{warm_up_source::connection_lost});
    REQUIRE(it.is_limited());
    REQUIRE_FALSE(it.handle(1'002, health_answered{milliseconds(700)}));
    REQUIRE(it.state() == "unknown");
    REQUIRE(it.handle(1'300, warm_up_timer_expired{}));
}

// Guards against health requests to a worker that is limited already, or that
// has no path to be asked at.
TEST_CASE("a slow worker that does not count as warm is not asked")
{
    fixture it;
    REQUIRE_FALSE(it.handle(0, service_slowed{}));
    REQUIRE(it.handle(0, call_arrived{}));
    it.handle(2, health_answered{milliseconds(700)});
    REQUIRE_FALSE(it.handle(500, service_slowed{}));
    it.handle(702, warm_up_timer_expired{});
    it.handle(703, service_configured{limits, false});
    REQUIRE_FALSE(it.handle(10'000, service_slowed{}));
    REQUIRE(it.state() == "warm");
}

// Guards against a service whose workers stay limited for ever, because they
// cannot be asked.
TEST_CASE("without a health path a doubt limits the worker for its cold time")
{
    fixture it;
    it.handle(0, service_configured{limits, false});
    REQUIRE(it.state() == "cold");
    it.handle(3'000, warm_up_timer_expired{});
    REQUIRE(it.state() == "warm");
    REQUIRE_FALSE(
        it.handle(4'000, state_doubted{warm_up_source::worker_unreachable}));
    REQUIRE(it.state() == "cold");
    REQUIRE(it.monitor.next_timer() == at(7'000));
}

namespace {

// A worker, the node beside it and the messages between them, on a clock that
// the test moves. A worker that crashes is away for more than 300 ms and
// returns cold. Its connections close at that moment, so the node notices at
// once if a call runs, and with the next call otherwise. The worker may also
// become cold again without an event.
class simulated_node
{
public:
    explicit simulated_node(milliseconds service_time = milliseconds(40))
        : service_time_(service_time)
    {
        restart();
    }

    // A new process of the node knows nothing of the worker.
    void restart()
    {
        monitor_ = warm_up_monitor();
        queue_settings settings;
        settings.slots = core::slot_count(6);
        queue_ = slot_queue(settings);
        running_.clear();
        responses_.clear();
        has_stated_cold_time_ = false;
        learn_service_time();
        handle(service_configured{limits, true});
    }

    // Lets the time pass, with an offer every 5 ms if callers are busy.
    void step(milliseconds time, bool busy)
    {
        for (; time > milliseconds(0); time -= milliseconds(1))
        {
            now_ += milliseconds(1);
            advance();
            if (busy && time.count() % 5 == 0)
            {
                offer(1);
            }
        }
    }

    void offer(int count)
    {
        for (int i = 0; i < count; ++i)
        {
            if (std::exchange(has_lost_connections_, false))
            {
                handle(state_doubted{warm_up_source::connection_lost});
            }
            handle(call_arrived{});
            job it;
            it.call = {core::incarnation(1), ++last_call_};
            it.deadline = now_ + milliseconds(60'000);
            it.target_time = it.deadline;
            handle(call_offered{it});
        }
    }

    void crash(milliseconds away)
    {
        is_away_until_ = now_ + milliseconds(301) + away;
        cold_until_ = is_away_until_ + limits.duration;
        if (running_.empty())
        {
            has_lost_connections_ = true;
        }
        for (auto const& it : std::exchange(running_, {}))
        {
            handle(state_doubted{warm_up_source::connection_lost});
            handle(run_ended{it.call, run_result::incomplete});
        }
    }

    void end_evacuation(bool becomes_cold)
    {
        if (becomes_cold)
        {
            // Nothing is sent to an evacuated worker.
            starts_.clear();
            cold_until_ = now_ + limits.duration;
        }
        handle(state_doubted{warm_up_source::evacuation_ended});
    }

    // The worker becomes cold again, and no event shows it. It does so only if
    // the most recent health response stated a cold time, and no request was
    // sent since: otherwise the node may not be allowed to ask. It does so 1 s
    // after that response at the earliest: it gets its full rate until it is
    // asked, and a second such time within 1 s may exceed the bound.
    void become_cold_again()
    {
        if (!has_stated_cold_time_ || is_away() ||
            now_ - requested_at_ < milliseconds(1'000))
        {
            return;
        }
        if (now_ >= cold_until_)
        {
            starts_.clear();
        }
        cold_until_ = now_ + limits.duration;
    }

    void list(std::uint64_t start, milliseconds cold)
    {
        handle(worker_listed{core::worker_start(start), cold});
    }

    void set_response_delay(milliseconds it, bool lost)
    {
        response_delay_ = it;
        responses_lost_ = lost;
    }

    void reset_connection()
    {
        handle(state_doubted{warm_up_source::connection_lost});
    }

    void slow_down() { handle(service_slowed{}); }

    bool within_bound() const { return within_bound_; }

private:
    struct run
    {
        core::call_id call;
        core::instant started_at;
        core::instant ends_at;
        bool is_unreachable = false;
    };
    struct response
    {
        core::instant arrives_at;
        warm_up_event event;
    };

    // The worker counts as slow only once its usual service time is known.
    void learn_service_time()
    {
        slowdown_detector_ = slowdown_detector();
        for (int i = 0; i < 50; ++i)
        {
            slowdown_detector_.observe({route_, service_time_}, now_);
        }
    }

    bool is_away() const { return now_ < is_away_until_; }

    void advance()
    {
        while (!responses_.empty() && responses_.front().arrives_at <= now_)
        {
            auto const it = responses_.front().event;
            responses_.pop_front();
            handle(it);
            has_stated_cold_time_ =
                std::holds_alternative<cold_until>(monitor_.state());
            if (queue_.waiting() > 0)
            {
                handle(calls_wait{});
            }
        }
        if (auto const due = monitor_.next_timer(); due && *due <= now_)
        {
            handle(warm_up_timer_expired{});
        }
        if (auto const due = queue_.next_timer(); due && *due <= now_)
        {
            handle(admission::timer_expired{});
        }
        while (!running_.empty() && running_.front().ends_at <= now_)
        {
            auto const it = running_.front();
            running_.pop_front();
            if (it.is_unreachable)
            {
                handle(state_doubted{warm_up_source::worker_unreachable});
                handle(run_ended{it.call, run_result::incomplete});
                continue;
            }
            handle(call_answered{});
            if (std::holds_alternative<warm>(monitor_.state()) &&
                slowdown_detector_.observe({route_, now_ - it.started_at},
                                           now_))
            {
                handle(service_slowed{});
            }
            handle(run_ended{it.call, run_result::completed});
        }
    }

    void handle(warm_up_event const& event)
    {
        for (auto const& a : monitor_.handle(event, now_))
        {
            if (auto const* it = std::get_if<state_changed>(&a))
            {
                if (std::holds_alternative<warm>(it->state))
                {
                    slowdown_detector_.start(now_);
                }
                auto const* cold = std::get_if<cold_until>(&it->state);
                handle(cold_rate_changed{
                    monitor_.rate_in_force(),
                    cold == nullptr ? std::nullopt : std::optional(cold->end)});
                continue;
            }
            answer_health_request();
        }
    }

    // The worker writes the response when it gets the request.
    void answer_health_request()
    {
        requested_at_ = now_;
        has_stated_cold_time_ = false;
        if (is_away() || responses_lost_)
        {
            responses_.push_back({now_ + milliseconds(1), health_failed{}});
            return;
        }
        auto const cold = std::max<core::duration>(cold_until_ - now_, {});
        responses_.push_back(
            {now_ + response_delay_,
             health_answered{std::chrono::duration_cast<milliseconds>(cold)}});
    }

    void handle(admission::event const& event)
    {
        for (auto const& a : queue_.handle(event, now_))
        {
            if (auto const* it = std::get_if<start_call>(&a))
            {
                start(it->call);
            }
        }
        if (queue_.waiting() > 0)
        {
            handle(calls_wait{});
        }
    }

    void start(core::call_id const& call)
    {
        if (is_away())
        {
            running_.push_front({call, now_, now_, true});
            return;
        }
        bool const is_cold = now_ < cold_until_;
        running_.push_back(
            {call, now_, now_ + (is_cold ? 2 * service_time_ : service_time_)});
        if (!is_cold)
        {
            starts_.clear();
            return;
        }
        starts_.push_back(now_);
        while (starts_.front() <= now_ - milliseconds(1'000))
        {
            starts_.pop_front();
        }
        auto const most = limits.rate.value() * 3 / 2 / 1'000 + 8;
        within_bound_ = within_bound_ && starts_.size() <= most;
    }

    core::instant now_ = at(0);
    core::route_name const route_{"look"};
    milliseconds service_time_;
    warm_up_monitor monitor_;
    slowdown_detector slowdown_detector_;
    slot_queue queue_{queue_settings{}};
    std::uint64_t last_call_ = 0;
    std::deque<run> running_;
    std::deque<response> responses_;
    milliseconds response_delay_{1};
    bool responses_lost_ = false;
    bool has_lost_connections_ = false;
    core::instant is_away_until_{};
    core::instant cold_until_{};
    core::instant requested_at_{};
    // See become_cold_again().
    bool has_stated_cold_time_ = false;
    // When calls were started in the last second, while the worker was cold.
    std::deque<core::instant> starts_;
    bool within_bound_ = true;
};

// The events of a sequence, each with its weight.
rc::Gen<int> random_event(bool has_second_cold_periods)
{
    if (has_second_cold_periods)
    {
        // Slow health responses are left out: a worker that is cold without an
        // event gets its full rate until it has responded.
        return rc::gen::weightedElement<int>({{4, 0},
                                              {12, 1},
                                              {1, 2},
                                              {1, 3},
                                              {1, 4},
                                              {1, 5},
                                              {1, 7},
                                              {2, 8},
                                              {1, 9},
                                              {8, 10}});
    }
    return rc::gen::weightedElement<int>({{4, 0},
                                          {4, 1},
                                          {4, 2},
                                          {4, 3},
                                          {2, 4},
                                          {2, 5},
                                          {2, 6},
                                          {2, 7},
                                          {2, 8},
                                          {2, 9}});
}

void check_random_events(bool has_second_cold_periods)
{
    simulated_node node(
        milliseconds(has_second_cold_periods
                         ? *rc::gen::elementOf(std::vector<int>{10, 20, 40})
                         : 40));
    auto const steps = *rc::gen::inRange(1, 60);
    for (int i = 0; i < steps; ++i)
    {
        auto const number =
            *rc::gen::resize(rc::kNominalSize, rc::gen::inRange(0, 1'000));
        switch (*random_event(has_second_cold_periods))
        {
        case 0:
            node.offer(number % 40);
            break;
        case 1:
            node.step(milliseconds(number), true);
            break;
        case 8:
            node.step(milliseconds(number), false);
            break;
        case 2:
            node.crash(milliseconds(number));
            if (number % 2 == 0)
            {
                // No call shows that the worker is away.
                node.step(milliseconds(302 + number), false);
            }
            break;
        case 3:
            node.restart();
            break;
        case 4:
            node.end_evacuation(number % 2 == 0);
            break;
        case 5:
            node.list(static_cast<std::uint64_t>(number % 3),
                      milliseconds(number % 2 * number));
            break;
        case 6:
            node.set_response_delay(milliseconds(1 + number % 450),
                                    number % 5 == 0);
            break;
        case 9:
            node.slow_down();
            break;
        case 10:
            node.become_cold_again();
            break;
        default:
            node.reset_connection();
            break;
        }
        RC_ASSERT(node.within_bound());
    }
}

} // namespace

// Guards against any sequence of faults that lets more calls through than a
// cold worker can take: it crashes, returns cold and crashes again.
TEST_CASE("a cold worker gets no more calls than the bound in any second")
{
    // Several sequences for each run: some faults show in one of hundreds.
    constexpr int sequences = 8;
    rc::prop("any interleaving of events", [] {
        for (int i = 0; i < sequences; ++i)
        {
            check_random_events(false);
        }
    });
}

// Guards against a worker that becomes cold again, without an event, during or
// after a cold time that it has stated: it must not get its full rate for
// longer than its service times need to show that.
TEST_CASE("a worker that becomes cold again gets no more calls than the bound")
{
    constexpr int sequences = 8;
    rc::prop("any interleaving of events", [] {
        for (int i = 0; i < sequences; ++i)
        {
            check_random_events(true);
        }
    });
}
