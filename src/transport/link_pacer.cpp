// Grants parts in the order of the messages, at the rate of the link.
#include "transport/link_pacer.hpp"

#include <algorithm>

namespace yuccafall::transport {

core::duration link_pacer::transfer_time(core::byte_count bytes) const
{
    auto const rate =
        settings_.bandwidth.value() * settings_.share.value() / 100;
    if (rate == 0)
    {
        return {};
    }
    return std::chrono::duration_cast<core::duration>(
        std::chrono::duration<double>(static_cast<double>(bytes.value()) /
                                      static_cast<double>(rate)));
}

link_ticket link_pacer::open(core::byte_count size)
{
    link_ticket const it(++last_ticket_);
    open_.emplace(it, message{size, {}});
    pending_bytes_ = core::byte_count(pending_bytes_.value() + size.value());
    return it;
}

void link_pacer::close(link_ticket const& it)
{
    auto const found = open_.find(it);
    if (found == open_.end())
    {
        return;
    }
    pending_bytes_ = core::byte_count(pending_bytes_.value() -
                                      found->second.remaining.value());
    open_.erase(found);
    requests_.erase(it);
    writing_.erase(it);
}

void link_pacer::request(link_ticket const& it)
{
    auto const found = open_.find(it);
    if (found != open_.end() && found->second.remaining.value() > 0)
    {
        requests_.insert(it);
        writing_.erase(it);
    }
}

std::optional<link_pacer::grant> link_pacer::next(core::instant now)
{
    if (requests_.empty() || now < next_part_at_)
    {
        return std::nullopt;
    }
    auto const ticket = *requests_.begin();
    requests_.erase(requests_.begin());
    writing_.insert(ticket);
    auto& granted = open_.at(ticket);
    granted.granted_at = now;
    auto& remaining = granted.remaining;
    auto const part_of_link =
        settings_.bandwidth.value() *
        static_cast<std::uint64_t>(settings_.min_part_time.count()) / 1000;
    core::byte_count const size(std::min(
        std::max(settings_.min_part.value(), part_of_link), remaining.value()));
    remaining = core::byte_count(remaining.value() - size.value());
    pending_bytes_ = core::byte_count(pending_bytes_.value() - size.value());
    next_part_at_ =
        std::max<core::instant>(next_part_at_, now - settings_.max_catch_up) +
        transfer_time(size);
    return grant{ticket, size};
}

core::duration link_pacer::active_backlog(core::instant now) const
{
    auto pending = pending_bytes_.value();
    for (auto const& it : writing_)
    {
        auto const& written = open_.at(it);
        if (now - written.granted_at >= settings_.stall_time)
        {
            pending -= written.remaining.value();
        }
    }
    return transfer_time(core::byte_count(pending));
}

std::optional<core::instant> link_pacer::next_time() const
{
    return requests_.empty() ? std::nullopt : std::optional(next_part_at_);
}

} // namespace yuccafall::transport
