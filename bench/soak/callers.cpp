// Implements the callers.
#include "bench/soak/callers.hpp"

#include <utility>

#include <fmt/format.h>

#include "core/random.hpp"

namespace yuccafall::bench::soak {

namespace {

constexpr std::size_t caller_count = 5;

} // namespace

void callers::start()
{
    for (std::size_t c = 0; c < caller_count; ++c)
    {
        threads_.emplace_back([this, c] { run_caller(c); });
    }
}

void callers::run_caller(std::size_t caller)
{
    core::random_source random(options_->seed * 1'000 + caller);
    stand_ins::caller_session session;
    bool const keeps_connections = options_->extended && caller % 2 == 0;
    std::vector<sent_request> sent;
    for (std::size_t i = 0; !stopping_; ++i)
    {
        sent_request it;
        it.id = fmt::format("{}-{}-{}", options_->seed, caller, i);
        it.is_booking = random.below(2) == 0;
        auto const vm = random.below(deployment_->size());
        auto const message = stand_ins::deployment::request(
            it.is_booking ? "/book/" : "/look/", it.id,
            it.is_booking ? "POST" : "GET");
        auto const failures_before = faults_->node_failures(vm);
        it.result = keeps_connections
                        ? session.call(deployment_->caller_endpoint(vm),
                                       message, caller_timeout)
                        : deployment_->call(vm, message, caller_timeout);
        it.node_failed = failures_before != faults_->node_failures(vm);
        sent.push_back(std::move(it));
    }
    std::lock_guard const lock(mutex_);
    sent_.insert(sent_.end(), sent.begin(), sent.end());
}

std::vector<sent_request> callers::stop()
{
    stopping_ = true;
    for (auto& it : threads_)
    {
        it.join();
    }
    return std::move(sent_);
}

} // namespace yuccafall::bench::soak
