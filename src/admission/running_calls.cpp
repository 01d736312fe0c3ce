// Implements the detection of lost calls and the share of nested calls.
#include "admission/running_calls.hpp"

#include <algorithm>
#include <utility>

namespace yuccafall::admission {

namespace {

// A call that was sent less than this time ago may be missing from the worker's
// load report.
constexpr core::milliseconds report_delay{100};

// A call counts as lost only if it has run for this multiple of its usual time,
// and for this multiple of report_delay at least.
constexpr double min_overdue_ratio = 3;

// Weight of the previous sum in the sums of slot times. About the last fifty
// runs determine the share of nested calls.
constexpr double slot_time_decay = 0.98;

} // namespace

void running_calls::add(core::call_id const& call, running_call it)
{
    calls_.emplace(call, std::move(it));
}

std::optional<running_call> running_calls::remove(core::call_id const& call,
                                                  core::instant now)
{
    auto const found = calls_.find(call);
    if (found == calls_.end())
    {
        return std::nullopt;
    }
    auto const it = std::move(found->second);
    calls_.erase(found);
    lost_count_ -= it.lost ? 1 : 0;
    auto const ms =
        std::chrono::duration<double, std::milli>(now - it.started_at).count();
    slot_time_ms_ = slot_time_ms_ * slot_time_decay + ms;
    nested_slot_time_ms_ =
        nested_slot_time_ms_ * slot_time_decay + (it.nested ? ms : 0);
    return it;
}

double running_calls::overdue_ratio(running_call const& it, core::instant now)
{
    auto const usual =
        std::max<core::duration>(it.expected_service_time, report_delay);
    return static_cast<double>((now - it.started_at).count()) /
           static_cast<double>(usual.count());
}

std::vector<core::call_id> running_calls::find_lost(load_reported const& report,
                                                    core::instant now)
{
    std::vector<overdue_call> overdue;
    std::size_t settled = 0;
    for (auto it = calls_.begin(); it != calls_.end(); ++it)
    {
        if (it->second.lost || now - it->second.started_at < report_delay)
        {
            continue;
        }
        ++settled;
        auto const ratio = overdue_ratio(it->second, now);
        if (ratio >= min_overdue_ratio && it->first != report.answered_call)
        {
            overdue.push_back({ratio, it});
        }
    }
    // The call whose response carries the report may or may not be counted.
    std::size_t const reported =
        static_cast<std::size_t>(report.load.running.value()) +
        report.load.waiting.value() + 1;
    std::sort(overdue.begin(), overdue.end(),
              [](auto const& a, auto const& b) { return a.ratio > b.ratio; });
    std::vector<core::call_id> out;
    for (auto const& it : overdue)
    {
        if (settled <= reported)
        {
            break;
        }
        --settled;
        it.position->second.lost = true;
        ++lost_count_;
        out.push_back(it.position->first);
    }
    return out;
}

core::duration running_calls::remaining_time(core::instant now) const
{
    core::duration out{};
    for (auto const& [call, it] : calls_)
    {
        out += it.lost
                   ? core::duration::zero()
                   : std::max(it.expected_service_time - (now - it.started_at),
                              it.expected_service_time / 8);
    }
    return out;
}

double running_calls::nested_slot_share() const
{
    return slot_time_ms_ > 0 ? nested_slot_time_ms_ / slot_time_ms_ : 0;
}

} // namespace yuccafall::admission
