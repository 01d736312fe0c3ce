// The model's nodes, workers and callers.
#include "bench/model/day.hpp"

#include <algorithm>
#include <cmath>
#include <functional>
#include <memory>
#include <optional>
#include <set>

#include "admission/slot_queue.hpp"
#include "balancing/upstream_scores.hpp"
#include "bench/model/event_queue.hpp"
#include "core/overloaded.hpp"
#include "core/random.hpp"
#include "ingress/caller_patience.hpp"
#include "ingress/next_step.hpp"
#include "retries/retry_budget.hpp"

namespace yuccafall::bench::model {

namespace {

using core::milliseconds;

// Within a data centre, with the handling of a message at both ends.
constexpr core::duration near_way = std::chrono::microseconds(400);
// A head or a short answer on the link.
constexpr double short_message_bytes = 400;
// Bodies above this follow once the call has been accepted.
constexpr double long_body_bytes = 8'192;
// What a caller waits for at least before it comes again.
constexpr core::duration least_return = milliseconds(5);

core::duration from_ms(double it)
{
    return core::duration(static_cast<core::duration::rep>(it * 1e6));
}

double to_ms(core::duration it)
{
    return static_cast<double>(it.count()) / 1e6;
}

double exponential(core::random_source& random, double mean)
{
    return -mean * std::log(1 - random.unit());
}

// With the given mean; sigma is that of the logarithm.
double lognormal(core::random_source& random, double mean, double sigma)
{
    constexpr double pi = 3.14159265358979323846;
    auto const normal = std::sqrt(-2 * std::log(1 - random.unit())) *
                        std::cos(2 * pi * random.unit());
    return mean * std::exp(sigma * normal - sigma * sigma / 2);
}

// One direction of a VM's link: messages leave it one after the other.
class link
{
public:
    explicit link(core::bytes_per_second rate) : rate_(rate) {}

    core::duration carry(core::instant now, double bytes)
    {
        free_at_ = std::max(free_at_, now) +
                   from_ms(1000 * bytes / static_cast<double>(rate_.value()));
        return free_at_ - now;
    }

private:
    core::bytes_per_second rate_;
    core::instant free_at_{};
};

enum class call_end
{
    answered,
    refused,
    failed,
};

struct call_outcome
{
    call_end how = call_end::failed;
    milliseconds retry_after{0};
};

struct node;

// One request at the node that it came to.
struct call
{
    std::size_t kind = 0;
    node* at = nullptr;
    double body = 0;
    core::instant deadline;
    core::instant aim;
    bool nested = false;
    std::set<core::upstream_id> tried;
    std::uint32_t workers_reached = 0;
    std::uint32_t redirects = 0;
    std::uint32_t offers_for_free_slot = 0;
    milliseconds retry_after{0};
    std::function<void(call_outcome)> done;
};

// A call as the node beside the worker knows it.
struct offer
{
    std::shared_ptr<model::call> from;
    bool has_alternative = false;
    core::instant offered;
    core::instant started;
};

struct node
{
    node(std::size_t place, core::upstream_id name,
         balancing::choice_settings choice,
         admission::queue_settings const& slots,
         retries::budget_settings const& budget, core::bytes_per_second rate)
        : data_centre(place), id(std::move(name)), scores(std::move(choice)),
          queue(slots), budget_left(budget), inbound(rate), outbound(rate)
    {}

    std::size_t data_centre;
    core::upstream_id id;
    balancing::upstream_scores scores;
    ingress::caller_timeouts patience;
    admission::slot_queue queue;
    retries::retry_budget budget_left;
    link inbound;
    link outbound;
    std::map<core::call_id, offer> offers;
    std::optional<core::instant> wake;
    // Of the worker.
    double speed = 1;
    bool is_slowed = false;
    bool is_noisy = false;
    core::instant noise_ends{};
};

class day
{
public:
    day(deployment const& what, policy const& with, std::uint64_t seed)
        : what_(what), with_(with), random_(seed)
    {
        make_nodes();
        result_.by_second.resize(
            static_cast<std::size_t>(std::ceil(what_.seconds)));
    }

    day_result play()
    {
        started_ = events_.now();
        for (std::size_t i = 0; i < what_.data_centres.size(); ++i)
        {
            next_arrival(i);
        }
        events_.run();
        result_.mean_wait_ms =
            waits_ == 0 ? 0 : wait_ms_ / static_cast<double>(waits_);
        result_.megabytes_between_data_centres = crossed_bytes_ / 1e6;
        return std::move(result_);
    }

private:
    void make_nodes()
    {
        std::size_t serial = 0;
        for (auto const& service : what_.services)
        {
            std::size_t in_service = 0;
            for (std::size_t place = 0; place < what_.data_centres.size();
                 ++place)
            {
                for (std::size_t n = 0; n < service.workers[place]; ++n)
                {
                    add_node(service, place, serial++, in_service++);
                }
            }
        }
        for (auto& it : nodes_)
        {
            it->budget_left.set_nodes(core::node_count(nodes_.size()));
            by_place_[it->data_centre].push_back(it.get());
        }
    }

    void add_node(service const& of, std::size_t place, std::size_t serial,
                  std::size_t in_service)
    {
        balancing::choice_settings choice;
        choice.own_data_centre = what_.data_centres[place];
        admission::queue_settings slots;
        slots.slots = what_.slots;
        slots.body_pacing.link_rate =
            with_.paces_bodies ? what_.link : core::bytes_per_second(0);
        core::upstream_id const id("w" + std::to_string(serial));
        auto it = std::make_unique<node>(
            place, id, choice, slots, retries::budget_settings{}, what_.link);
        it->speed = of.speeds[in_service % of.speeds.size()];
        for (auto const& t : what_.troubles)
        {
            it->is_slowed = it->is_slowed || random_.unit() < t.slow_share;
        }
        balancing::upstream listed;
        listed.id = id;
        listed.data_centre = what_.data_centres[place];
        listed.slots = what_.slots;
        upstreams_[of.name].push_back(listed);
        by_id_[id] = it.get();
        nodes_.push_back(std::move(it));
    }

    double second() const { return to_ms(events_.now() - started_) / 1000; }

    // Callers.

    double rate(std::size_t place) const
    {
        double out =
            what_.per_second / static_cast<double>(what_.data_centres.size());
        constexpr double turn = 6.28318530717958648;
        auto const phase = 0.1 + 0.08 * static_cast<double>(place);
        out *= 1 + what_.swing *
                       std::sin(turn * (second() / what_.period_s + phase));
        for (auto const& t : what_.troubles)
        {
            bool const is_on = second() >= t.from_s && second() < t.until_s;
            out *= is_on ? t.demand : 1;
        }
        return out;
    }

    void next_arrival(std::size_t place)
    {
        events_.after(from_ms(exponential(random_, 1000 / rate(place))),
                      [this, place] {
                          if (second() >= what_.seconds)
                          {
                              return;
                          }
                          arrive(place);
                          next_arrival(place);
                      });
    }

    void arrive(std::size_t place)
    {
        auto draw = random_.unit();
        std::size_t kind = 0;
        while (kind + 1 < what_.requests.size() &&
               draw >= what_.requests[kind].part)
        {
            draw -= what_.requests[kind].part;
            ++kind;
        }
        auto const& request = what_.requests[kind];
        auto& all = tally_of(kind);
        ++all.asked;
        all.owed += request.worth;
        auto& here = result_.by_second[static_cast<std::size_t>(second())];
        ++here.asked;
        here.owed += request.worth;
        try_request({kind, place, exponential(random_, request.body_bytes),
                     events_.now(), static_cast<std::size_t>(second()),
                     request.retries});
    }

    struct caller
    {
        std::size_t kind;
        std::size_t place;
        double body;
        core::instant first_try;
        std::size_t second;
        std::uint32_t retries_left;
    };

    void try_request(caller const& who)
    {
        auto const& request = what_.requests[who.kind];
        auto const left = request.patience - (events_.now() - who.first_try);
        auto& at = *pick(by_place_[who.place]);
        auto it = std::make_shared<call>();
        it->kind = who.kind;
        it->at = &at;
        it->body = who.body;
        it->done = [this, who](call_outcome const& end) { ended(who, end); };
        auto const arrives =
            at.inbound.carry(events_.now(), short_message_bytes + who.body);
        events_.after(arrives, [this, it, left] {
            auto const patience =
                std::chrono::duration_cast<milliseconds>(left);
            start(it, patience);
        });
    }

    void ended(caller who, call_outcome const& end)
    {
        auto const& request = what_.requests[who.kind];
        auto const took = events_.now() - who.first_try;
        auto& all = tally_of(who.kind);
        auto& here = result_.by_second[who.second];
        if (end.how == call_end::answered)
        {
            bool const in_aim = took <= request.route.target_latency;
            auto const worth = in_aim ? request.worth : request.late_worth;
            for (auto* it : {&all, &here})
            {
                it->in_aim += in_aim ? 1 : 0;
                it->late += in_aim ? 0 : 1;
                it->earned += worth;
            }
            return;
        }
        bool const may_repeat = end.how == call_end::refused ||
                                routing::is_idempotent(request.route.kind);
        auto const left = request.patience - took;
        auto const pause =
            std::max<core::duration>(end.retry_after, least_return);
        if (may_repeat && who.retries_left > 0 && pause < left / 3)
        {
            --who.retries_left;
            events_.after(pause, [this, who] { try_request(who); });
            return;
        }
        for (auto* it : {&all, &here})
        {
            it->refused += end.how == call_end::refused ? 1 : 0;
            it->failed += end.how == call_end::failed ? 1 : 0;
        }
    }

    tally& tally_of(std::size_t kind)
    {
        return result_.by_route[what_.requests[kind].route.name.value()];
    }

    node* pick(std::vector<node*> const& among)
    {
        return among[random_.below(among.size())];
    }

    // The callers' side of a node.

    void start(std::shared_ptr<call> const& it, milliseconds patience)
    {
        auto const& route = what_.requests[it->kind].route;
        auto const now = events_.now();
        it->deadline = now + std::min(patience, route.timeout);
        it->aim = now + route.target_latency -
                  it->at->patience.elapsed_before(route.name, patience);
        it->at->budget_left.record_request(route.targets.front().service, now);
        try_next(it);
    }

    void try_next(std::shared_ptr<call> const& it)
    {
        auto const& route = what_.requests[it->kind].route;
        auto& at = *it->at;
        balancing::call_traits const demand{
            route.name, core::byte_count(static_cast<std::uint64_t>(it->body)),
            it->body > long_body_bytes, it->nested};
        auto const found =
            at.scores.choose(upstreams_.at(route.targets.front().service),
                             it->tried, demand, events_.now(), random_);
        auto const* to = std::get_if<balancing::chosen>(&found);
        if (to == nullptr)
        {
            finish(*it, {call_end::refused, it->retry_after});
            return;
        }
        bool const wants_free_slot =
            with_.prefers_free_slots && to->has_alternative &&
            it->offers_for_free_slot < ingress::max_offers_for_free_slot;
        it->offers_for_free_slot += wants_free_slot ? 1 : 0;
        it->tried.insert(to->target->id);
        at.scores.record_sent(to->target->id, events_.now());
        auto& owner = *by_id_.at(to->target->id);
        auto const size =
            short_message_bytes + (it->body > long_body_bytes ? 0 : it->body);
        send(at, owner, size, [this, it, &owner, wants_free_slot] {
            take_offer(owner, it, wants_free_slot);
        });
    }

    void finish(call& it, call_outcome const& how)
    {
        auto const done = std::move(it.done);
        it.done = nullptr;
        if (done)
        {
            done(how);
        }
    }

    void refused(std::shared_ptr<call> const& it, node& by,
                 ingress::attempt_refused const& how,
                 balancing::load_report const& load)
    {
        auto const now = events_.now();
        it->at->scores.record_report(by.id, load, now);
        it->at->scores.record_ended(by.id, balancing::outcome::refused, now);
        ingress::call_progress progress;
        progress.kind = what_.requests[it->kind].route.kind;
        progress.max_attempts = what_.requests[it->kind].route.attempts;
        progress.workers_reached = it->workers_reached;
        progress.redirects = it->redirects;
        progress.remaining =
            std::chrono::duration_cast<milliseconds>(it->deadline - now);
        progress.expected_duration =
            what_.requests[it->kind].route.target_latency / 2;
        progress.retry_after = it->retry_after;
        std::visit(core::overloaded{
                       [&](ingress::try_another const& next) {
                           if (next.may_reselect_upstream)
                           {
                               it->tried.erase(by.id);
                           }
                           else
                           {
                               ++it->redirects;
                               it->retry_after = how.retry_after;
                           }
                           try_next(it);
                       },
                       [&](ingress::give_up const& end) {
                           finish(*it, {call_end::refused, end.retry_after});
                       }},
                   ingress::decide_next_step(progress, how));
    }

    // The node beside a worker.

    void take_offer(node& owner, std::shared_ptr<call> const& it,
                    bool has_alternative)
    {
        auto const now = events_.now();
        core::call_id const id{core::incarnation(1), ++last_call_};
        auto const& route = what_.requests[it->kind].route;
        admission::job job;
        job.call = id;
        job.route = route.name;
        job.rank = route.rank;
        job.nested = it->nested && with_.puts_nested_first;
        job.has_alternative = has_alternative;
        job.deadline = it->deadline;
        job.target_time = it->aim;
        job.awaits_body = it->body > long_body_bytes;
        job.body_size =
            core::byte_count(job.awaits_body && &owner != it->at
                                 ? static_cast<std::uint64_t>(it->body)
                                 : 0);
        owner.offers.emplace(id, offer{it, has_alternative, now, {}});
        feed(owner, admission::call_offered{job});
    }

    void feed(node& owner, admission::event const& it)
    {
        auto const actions = owner.queue.handle(it, events_.now());
        for (auto const& a : actions)
        {
            std::visit([&](auto const& what) { act(owner, what); }, a);
        }
        auto const due = owner.queue.next_wake();
        if (due && (!owner.wake || *due < *owner.wake))
        {
            owner.wake = std::max(*due, events_.now() + milliseconds(1));
            events_.at(*owner.wake, [this, &owner] {
                owner.wake.reset();
                feed(owner, admission::timer_expired{});
            });
        }
    }

    void act(node& owner, admission::request_body const& it)
    {
        auto const call = owner.offers.at(it.call).from;
        send(owner, *call->at, short_message_bytes,
             [this, &owner, call, id = it.call] {
                 send(*call->at, owner, call->body, [this, &owner, id] {
                     feed(owner, admission::body_arrived{id});
                 });
             });
    }

    void act(node& owner, admission::refuse_call const& it)
    {
        auto const found = owner.offers.find(it.call);
        auto const known = found->second;
        owner.offers.erase(found);
        ingress::attempt_refused const how{it.kind, it.retry_after, false,
                                           known.has_alternative};
        send(owner, *known.from->at, short_message_bytes,
             [this, &owner, call = known.from, how, load = report(owner)] {
                 refused(call, owner, how, load);
             });
    }

    void act(node& owner, admission::start_call const& it)
    {
        auto& known = owner.offers.at(it.call);
        known.started = events_.now();
        wait_ms_ += to_ms(known.started - known.offered);
        ++waits_;
        auto const& request = what_.requests[known.from->kind];
        auto const work = lognormal(random_, request.work_ms, request.spread) *
                          owner.speed * pace(owner);
        std::size_t nested = 0;
        for (auto const& calls : request.calls)
        {
            nested = random_.unit() < calls.share ? calls.times : 0;
        }
        run(owner, it.call, work, nested);
    }

    // Work, in as many parts as there are calls to wait for, and one more.
    void run(node& owner, core::call_id const& id, double work_ms,
             std::size_t nested)
    {
        auto const part = work_ms / static_cast<double>(nested + 1);
        events_.after(from_ms(part), [this, &owner, id, part, nested] {
            auto const& known = owner.offers.at(id);
            if (nested == 0 || events_.now() >= known.from->deadline)
            {
                end_run(owner, id, events_.now() < known.from->deadline);
                return;
            }
            make_nested_call(owner, id, part, nested);
        });
    }

    void make_nested_call(node& owner, core::call_id const& id, double part,
                          std::size_t nested)
    {
        auto const& known = owner.offers.at(id);
        auto const kind =
            what_.requests[known.from->kind].calls.front().request;
        auto it = std::make_shared<call>();
        it->kind = kind;
        it->at = &owner;
        it->nested = true;
        ++result_.nested;
        auto const due = events_.now() + what_.requests[kind].patience;
        it->done = [this, &owner, id, part, nested,
                    due](call_outcome const& end) {
            bool const is_good =
                end.how == call_end::answered && events_.now() <= due;
            result_.nested_failed += is_good ? 0 : 1;
            if (!is_good)
            {
                end_run(owner, id, false);
                return;
            }
            run(owner, id, part * static_cast<double>(nested), nested - 1);
        };
        start(it, what_.requests[kind].patience);
    }

    void end_run(node& owner, core::call_id const& id, bool is_good)
    {
        auto const found = owner.offers.find(id);
        auto const known = found->second;
        owner.offers.erase(found);
        auto const ran = std::chrono::duration_cast<milliseconds>(
            events_.now() - known.started);
        feed(owner, admission::run_ended{
                        id, is_good ? admission::run_result::completed
                                    : admission::run_result::incomplete});
        auto const& request = what_.requests[known.from->kind];
        auto const size =
            short_message_bytes + (is_good ? request.answer_bytes : 0);
        send(owner, *known.from->at, size,
             [this, &owner, call = known.from, ran, is_good,
              load = report(owner)] {
                 auto& scores = call->at->scores;
                 scores.record_report(owner.id, load, events_.now());
                 scores.record_run(owner.id,
                                   what_.requests[call->kind].route.name, ran);
                 scores.record_ended(owner.id, balancing::outcome::answered,
                                     events_.now());
                 finish(*call,
                        {is_good ? call_end::answered : call_end::failed, {}});
             });
    }

    balancing::load_report report(node const& owner) const
    {
        balancing::load_report it;
        auto const& queue = owner.queue;
        it.wait_at_front = queue.wait_at_front(events_.now());
        it.wait_at_back = queue.wait_at_back(events_.now());
        it.running =
            core::slot_count(static_cast<std::uint32_t>(queue.running()));
        it.waiting =
            core::queue_length(static_cast<std::uint32_t>(queue.waiting()));
        it.slots = queue.slots();
        it.wait_for_bodies = queue.wait_for_bodies();
        it.body_rate = queue.body_rate();
        return it;
    }

    // How many times longer than usual work takes at the worker now.
    double pace(node& owner)
    {
        auto const now = events_.now();
        if (now >= owner.noise_ends)
        {
            owner.is_noisy = random_.unit() < what_.noise_share;
            owner.noise_ends =
                now + from_ms(exponential(random_, what_.noise_ms));
        }
        double out = owner.is_noisy ? what_.noise : 1;
        for (auto const& t : what_.troubles)
        {
            bool const is_on = second() >= t.from_s && second() < t.until_s;
            out *= is_on && owner.is_slowed ? t.slowdown : 1;
        }
        return out;
    }

    void send(node& from, node& to, double bytes, std::function<void()> arrived)
    {
        if (&from == &to)
        {
            events_.after({}, std::move(arrived));
            return;
        }
        core::duration way = near_way;
        if (from.data_centre != to.data_centre)
        {
            way += what_.between_data_centres;
            crossed_bytes_ += bytes;
        }
        auto const left = from.outbound.carry(events_.now(), bytes);
        events_.after(left + way, [this, &to, bytes,
                                   arrived = std::move(arrived)]() mutable {
            events_.after(to.inbound.carry(events_.now(), bytes),
                          std::move(arrived));
        });
    }

    deployment what_;
    policy with_;
    core::random_source random_;
    event_queue events_;
    core::instant started_;
    std::vector<std::unique_ptr<node>> nodes_;
    std::map<core::upstream_id, node*> by_id_;
    std::map<std::size_t, std::vector<node*>> by_place_;
    std::map<core::service_name, std::vector<balancing::upstream>> upstreams_;
    std::uint64_t last_call_ = 0;
    double wait_ms_ = 0;
    std::uint64_t waits_ = 0;
    double crossed_bytes_ = 0;
    day_result result_;
};

} // namespace

tally day_result::total() const
{
    tally out;
    for (auto const& [route, it] : by_route)
    {
        out.asked += it.asked;
        out.in_aim += it.in_aim;
        out.late += it.late;
        out.refused += it.refused;
        out.failed += it.failed;
        out.owed += it.owed;
        out.earned += it.earned;
    }
    return out;
}

day_result play_day(deployment const& what, policy const& with,
                    std::uint64_t seed)
{
    return day(what, with, seed).play();
}

} // namespace yuccafall::bench::model
