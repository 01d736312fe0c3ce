// Keeps the links whose changes wait for memory in the order of their waits.
#include "node/deferred_changes.hpp"

#include <algorithm>

namespace yuccafall::node {

namespace {

template <class List>
auto find_link(List& in, replication::link_id link)
{
    return std::find_if(in.begin(), in.end(),
                        [&](auto const& it) { return it.link == link; });
}

} // namespace

bool deferred_changes::make_room(core::byte_count size, core::instant now)
{
    memory_->make_room(size, core::memory_part::eviction::slow_holders, now);
    return memory_->can_admit(size);
}

bool deferred_changes::admit(deferred_link const& it, core::instant now)
{
    bool const is_resumed = it.link == resumed_;
    bool const is_next = is_resumed || waiting_.empty();
    bool const is_usual =
        it.size <= memory_->limit() && memory_->used() <= memory_->limit();
    if (is_next && (is_usual || make_room(it.size, now)))
    {
        return true;
    }
    remove(it.link);
    waiting_.insert(is_resumed ? waiting_.begin() : waiting_.end(), it);
    return false;
}

bool deferred_changes::is_waiting(replication::link_id link) const
{
    return find_link(waiting_, link) != waiting_.end();
}

void deferred_changes::set_base(replication::link_id link, core::revision base)
{
    auto const found = find_link(waiting_, link);
    if (found != waiting_.end())
    {
        found->base = base;
    }
}

void deferred_changes::remove(replication::link_id link)
{
    auto const found = find_link(waiting_, link);
    if (found != waiting_.end())
    {
        waiting_.erase(found);
    }
}

std::optional<deferred_link> deferred_changes::take_next(core::instant now)
{
    resumed_ = {};
    if (waiting_.empty() || !make_room(waiting_.front().size, now))
    {
        return {};
    }
    auto const out = waiting_.front();
    waiting_.pop_front();
    resumed_ = out.link;
    return out;
}

std::optional<core::byte_count> deferred_changes::needed() const
{
    return waiting_.empty() ? std::nullopt
                            : std::optional(waiting_.front().size);
}

} // namespace yuccafall::node
