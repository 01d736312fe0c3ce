// Counts the bytes of a part and chooses the holders to end.
#include "core/memory_part.hpp"

#include <algorithm>
#include <utility>
#include <vector>

namespace yuccafall::core {

namespace {

// Every reader counts as one that has taken this much in this time before its
// transfer began.
constexpr byte_count assumed_delivered{64UL * 1024};
constexpr std::chrono::seconds assumed_time{1};

// Readers above this rate keep their data when others need the memory. A reader
// that takes nothing falls below it after one second.
constexpr bytes_per_second slow_rate{32UL * 1024};

// Shortest time between two checks whether a slow holder can be ended in favour
// of data that waits for room. It limits the checks if a reader's rate stays
// near the one that counts as slow.
constexpr milliseconds min_slow_check_delay{100};

// Data that waits for room checks again for slow holders after this long at the
// latest. One that begins to hold memory meanwhile is slow no sooner.
constexpr milliseconds max_slow_check_delay{1'000};

// Returns bytes per second.
double average_rate(transfer_progress const& it, instant now)
{
    auto const time =
        std::chrono::duration<double>(now - it.since + assumed_time);
    auto const bytes = it.delivered.value() + assumed_delivered.value();
    return static_cast<double>(bytes) / time.count();
}

} // namespace

duration expected_transfer_time(transfer_progress const& it, instant now)
{
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(
        static_cast<double>(it.remaining.value()) / average_rate(it, now)));
}

bool is_slow(transfer_progress const& it, instant now)
{
    return average_rate(it, now) < static_cast<double>(slow_rate.value());
}

instant slow_after(transfer_progress const& it)
{
    auto const bytes = it.delivered.value() + assumed_delivered.value();
    std::chrono::duration<double> const time(
        static_cast<double>(bytes) / static_cast<double>(slow_rate.value()));
    return it.since - assumed_time + std::chrono::duration_cast<duration>(time);
}

bool memory_part::has_room(byte_count needed) const
{
    return used().value() + needed.value() <= limit_.value();
}

bool memory_part::can_admit(byte_count needed) const
{
    return has_room(needed) || used().value() == 0;
}

bool memory_part::all_wait() const
{
    std::uint64_t waiting = 0;
    for (auto const* it : waiters_)
    {
        waiting += it->size_.value();
    }
    return waiting == used().value();
}

void memory_part::notify_waiters()
{
    std::vector<std::function<void()>> handlers;
    for (auto it = waiters_.begin(); it != waiters_.end();)
    {
        if (!can_admit((*it)->needed_))
        {
            ++it;
            continue;
        }
        handlers.push_back(std::exchange((*it)->notify_, nullptr));
        it = waiters_.erase(it);
    }
    // Nobody who waits can go on, so the first decides whose data is dropped.
    if (handlers.empty() && !waiters_.empty() && all_wait())
    {
        handlers.push_back(std::exchange(waiters_.front()->notify_, nullptr));
        waiters_.pop_front();
    }
    for (auto const& notify : handlers)
    {
        notify();
    }
}

held_memory* memory_part::find_slowest(eviction from, instant now) const
{
    held_memory* slowest = nullptr;
    duration longest{};
    for (auto* it : holders_)
    {
        auto const progress = it->holder_.progress();
        auto const time = expected_transfer_time(progress, now);
        bool const may_end =
            from == eviction::all_holders || is_slow(progress, now);
        if (may_end && (slowest == nullptr || time > longest))
        {
            slowest = it;
            longest = time;
        }
    }
    return slowest;
}

std::optional<instant> memory_part::next_slow_holder_at() const
{
    auto out = reserve_ ? reserve_->next_slow_holder_at() : std::nullopt;
    for (auto const* it : holders_)
    {
        auto const at = slow_after(it->holder_.progress());
        out = std::min(out.value_or(at), at);
    }
    return out;
}

bool memory_part::make_room(byte_count needed, eviction from, instant now)
{
    while (!has_room(needed))
    {
        auto* const it = find_slowest(from, now);
        if (it == nullptr)
        {
            return false;
        }
        add(ended_);
        // The call may destroy the object.
        auto const end = std::exchange(it->holder_, {}).end;
        holders_.erase(it);
        end();
    }
    return true;
}

std::optional<duration> slow_check_delay(memory_part const& it, instant now)
{
    auto const at = it.next_slow_holder_at();
    if (!at)
    {
        return {};
    }
    return std::clamp<duration>(*at - now, min_slow_check_delay,
                                max_slow_check_delay);
}

held_memory::~held_memory()
{
    release();
}

void held_memory::set_part(std::shared_ptr<memory_part> part)
{
    release();
    part_ = std::move(part);
}

void held_memory::set_holder(holder it)
{
    holder_ = std::move(it);
    if (part_)
    {
        part_->holders_.insert(this);
    }
}

void held_memory::resize(byte_count size)
{
    auto const previous = std::exchange(size_, size);
    if (!part_)
    {
        return;
    }
    part_->used_ += size.value() - previous.value();
    if (size < previous)
    {
        part_->notify_waiters();
    }
}

void held_memory::wait_for_room(byte_count needed, std::function<void()> notify)
{
    stop_waiting();
    needed_ = needed;
    notify_ = std::move(notify);
    part_->waiters_.push_back(this);
}

void held_memory::stop_waiting()
{
    if (std::exchange(notify_, nullptr))
    {
        part_->waiters_.remove(this);
    }
}

void held_memory::release()
{
    stop_waiting();
    resize(byte_count(0));
    holder_ = {};
    if (part_)
    {
        part_->holders_.erase(this);
    }
}

} // namespace yuccafall::core
