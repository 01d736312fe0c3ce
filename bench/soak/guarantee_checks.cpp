// Implements the checks.
#include "bench/soak/guarantee_checks.hpp"

#include <cstdint>
#include <map>
#include <string>

#include <fmt/format.h>

#include "bench/soak/pause.hpp"
#include "bench/soak/soak_deployment.hpp"

namespace yuccafall::bench::soak {

namespace {

using core::milliseconds;

// After the last fault has ended, each node has to respond with status 200 to
// one of this many requests.
constexpr int max_recovery_attempts = 60;

} // namespace

void guarantee_checks::check_recovery()
{
    for (std::size_t i = 0; i < deployment_->size(); ++i)
    {
        bool served = false;
        std::string last;
        for (int n = 0; n < max_recovery_attempts && !served; ++n)
        {
            auto const id = fmt::format("{}-after-{}-{}", options_->seed, i, n);
            auto const it = deployment_->call(
                i, stand_ins::deployment::request("/look/", id),
                caller_timeout);
            served = it.status == 200;
            auto const* cause =
                http::find_header(it.headers, "Yuccafall-Error");
            last =
                fmt::format("{} {}", it.status, cause == nullptr ? "" : *cause);
            pause_for(served ? milliseconds(0) : milliseconds(100));
        }
        if (!served)
        {
            auto const ended = deployment_->node(i).wait_for(milliseconds(0));
            record_violation(
                *result_,
                fmt::format(
                    "node {} did not serve after the faults had ended: {}{}", i,
                    last,
                    ended ? fmt::format("; process ended with {}", *ended)
                          : std::string()));
            result_->logs.push_back(deployment_->log(i));
        }
    }
}

void guarantee_checks::check_workers_get_requests()
{
    std::vector<std::uint64_t> arrivals_before;
    for (std::size_t i = 0; i < deployment_->size(); ++i)
    {
        arrivals_before.push_back(deployment_->worker(i).counts().arrivals);
    }
    for (std::size_t i = 0; i < deployment_->size(); ++i)
    {
        auto const got_requests = [&] {
            return deployment_->worker(i).counts().arrivals >
                   arrivals_before[i];
        };
        for (int n = 0; n < max_recovery_attempts && !got_requests(); ++n)
        {
            pause_for(milliseconds(100));
        }
        if (!got_requests())
        {
            record_violation(
                *result_,
                fmt::format("worker {} got no request after the evacuations",
                            i));
            result_->logs.push_back(deployment_->log(i));
        }
    }
}

void guarantee_checks::check_calls(std::vector<sent_request> const& calls)
{
    std::map<std::string, int> runs;
    for (std::size_t i = 0; i < deployment_->size(); ++i)
    {
        auto const counts = deployment_->worker(i).counts();
        for (auto const& [id, n] : counts.runs)
        {
            runs[id] += n;
        }
        for (auto const& it : counts.limits)
        {
            check_limit(i, it);
        }
        result_->cold_arrivals += counts.cold_arrivals;
        if (counts.cold_crashes > 0)
        {
            record_violation(
                *result_,
                fmt::format(
                    "worker {} crashed {} times because it got more than {} "
                    "requests in a second while it was cold",
                    i, counts.cold_crashes, max_cold_arrivals));
            result_->logs.push_back(deployment_->log(i));
        }
    }
    result_->calls = calls.size();
    for (auto const& it : calls)
    {
        check_call(it, runs.count(it.id) == 0 ? 0 : runs.at(it.id));
    }
}

void guarantee_checks::check_limit(std::size_t vm,
                                   stand_ins::limit_episode const& it)
{
    if (!it.stated_at)
    {
        return;
    }
    auto const allowed = static_cast<std::size_t>(6 * it.per_second + 5);
    auto const bound_from = *it.stated_at + milliseconds(3'000);
    std::size_t first = 0;
    for (std::size_t last = 0; last < it.arrivals.size(); ++last)
    {
        while (it.arrivals[last] - it.arrivals[first] >= milliseconds(4'000) ||
               (it.arrivals[first] < bound_from && first < last))
        {
            ++first;
        }
        if (last - first + 1 > allowed)
        {
            record_violation(
                *result_,
                fmt::format(
                    "worker {} stated {} a second and got {} in four seconds",
                    vm, it.per_second, last - first + 1));
            result_->logs.push_back(deployment_->log(vm));
            return;
        }
    }
}

void guarantee_checks::check_call(sent_request const& it, int runs)
{
    auto const status = it.result.status;
    result_->answered += status == 200 ? 1 : 0;
    result_->refused += status == 503 ? 1 : 0;
    if (it.is_booking && runs > 1)
    {
        record_violation(
            *result_,
            fmt::format("non-idempotent request {} ran {} times", it.id, runs));
    }
    if (status == 503 && runs > 0)
    {
        record_violation(*result_,
                         fmt::format("request {} was refused but ran", it.id));
    }
    if (status == 0 && runs > 0 && !it.node_failed &&
        it.result.took < caller_timeout)
    {
        record_violation(
            *result_,
            fmt::format(
                "request {} ran and its connection ended without a response "
                "although its node was neither killed nor paused",
                it.id));
    }
    if (status == 200 && it.result.body != "answer to " + it.id)
    {
        record_violation(*result_,
                         fmt::format("request {} got a wrong response", it.id));
    }
    if (status == 404)
    {
        record_violation(
            *result_,
            fmt::format("request {} got status 404 although its route exists",
                        it.id));
    }
}

void guarantee_checks::check_logs()
{
    for (std::size_t i = 0; i < deployment_->size(); ++i)
    {
        if (deployment_->log(i).find("event=handler_failed") !=
            std::string::npos)
        {
            record_violation(
                *result_,
                fmt::format("an exception ended a handler of node {}", i));
            result_->logs.push_back(deployment_->log(i));
        }
    }
}

} // namespace yuccafall::bench::soak
