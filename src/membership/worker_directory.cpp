// Applies the events of the store to the records of the workers and removes
// records whose grace period has ended.
#include "membership/worker_directory.hpp"

#include <algorithm>

namespace yuccafall::membership {

namespace {

// The platform removes an entry that its worker has not written for three
// intervals. The last write is up to one interval before an outage.
constexpr int intervals_to_expire_entry = 2;

// Returns true if the entries agree in all fields but the id and the remaining
// warm-up time, so that a new warm-up time alone does not count as a change.
bool same_entry(worker_entry const& a, worker_entry const& b)
{
    return a.started == b.started && a.service == b.service &&
           a.address == b.address && a.data_centre == b.data_centre &&
           a.slots == b.slots && a.state == b.state;
}

} // namespace

bool worker_directory::handle(directory_event const& event, core::instant now)
{
    return std::visit([&](auto const& it) { return on(it, now); }, event);
}

bool worker_directory::on(entry_written const& it, core::instant)
{
    auto& stored = records_[it.entry.id];
    bool const same =
        stored.entry.id == it.entry.id && same_entry(stored.entry, it.entry);
    stored.entry = it.entry;
    stored.revision = it.revision;
    stored.expires_at.reset();
    return !same;
}

bool worker_directory::on(entry_removed const& it, core::instant now)
{
    auto const found = records_.find(it.id);
    if (found == records_.end())
    {
        return false;
    }
    if (found->second.entry.state == worker_state::draining)
    {
        records_.erase(found);
        return false;
    }
    auto expires_at = now + settings_.removal_delay;
    if (store_regained_at_)
    {
        expires_at = std::max(expires_at,
                              *store_regained_at_ + settings_.republish_delay);
    }
    found->second.expires_at = expires_at;
    return false;
}

bool worker_directory::on(store_regained const& it, core::instant now)
{
    if (may_expire_entries(it.unavailable_for))
    {
        store_regained_at_ = now;
    }
    return false;
}

bool worker_directory::may_expire_entries(core::milliseconds outage) const
{
    return outage >= settings_.worker_heartbeat * intervals_to_expire_entry;
}

bool worker_directory::on(services_named const& it, core::instant)
{
    bool const changed = named_services_ != it.services;
    named_services_ = it.services;
    return changed;
}

bool worker_directory::is_named(core::service_name const& service) const
{
    return !named_services_ || named_services_->count(service) != 0;
}

bool worker_directory::on(timer_expired const&, core::instant now)
{
    bool changed = false;
    for (auto it = records_.begin(); it != records_.end();)
    {
        if (it->second.expires_at && *it->second.expires_at <= now)
        {
            it = records_.erase(it);
            changed = true;
            continue;
        }
        ++it;
    }
    return changed;
}

std::vector<worker_entry> worker_directory::eligible_workers() const
{
    std::map<core::endpoint, core::revision> newest;
    for (auto const& [id, it] : records_)
    {
        if (!is_named(it.entry.service))
        {
            continue;
        }
        auto& revision = newest[it.entry.address];
        revision = std::max(revision, it.revision);
    }
    std::vector<worker_entry> out;
    for (auto const& [id, it] : records_)
    {
        if (it.entry.state == worker_state::ready &&
            is_named(it.entry.service) &&
            it.revision == newest.at(it.entry.address))
        {
            out.push_back(it.entry);
        }
    }
    return out;
}

std::map<core::upstream_id, worker_entry>
worker_directory::known_workers() const
{
    std::map<core::upstream_id, worker_entry> out;
    for (auto const& [id, it] : records_)
    {
        if (is_named(it.entry.service))
        {
            out.emplace(id, it.entry);
        }
    }
    return out;
}

std::optional<core::instant> worker_directory::next_timer() const
{
    std::optional<core::instant> earliest;
    for (auto const& [id, it] : records_)
    {
        if (it.expires_at && (!earliest || *it.expires_at < *earliest))
        {
            earliest = it.expires_at;
        }
    }
    return earliest;
}

} // namespace yuccafall::membership
