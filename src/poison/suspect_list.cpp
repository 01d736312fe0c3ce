// Counts the crashes of each suspect.
#include "poison/suspect_list.hpp"

#include <algorithm>
#include <string>

#include <boost/container_hash/hash.hpp>

namespace yuccafall::poison {

fingerprint fingerprint_of(std::string_view method, std::string_view target,
                           std::string_view body)
{
    std::size_t seed = 0;
    boost::hash_combine(seed, std::hash<std::string_view>()(method));
    boost::hash_combine(seed, std::hash<std::string_view>()(target));
    boost::hash_combine(seed, std::hash<std::string_view>()(body));
    return fingerprint(seed);
}

bool suspect_list::merge(crash_notice const& it, core::instant now)
{
    expire_and_evict(now);
    auto& current = suspects_[it.request];
    bool const is_new = current.crashes.insert(it.crash).second;
    if (is_new)
    {
        current.expires_at = now + suspect_ttl;
    }
    return is_new;
}

void suspect_list::expire_and_evict(core::instant now)
{
    for (auto it = suspects_.begin(); it != suspects_.end();)
    {
        it = it->second.expires_at <= now ? suspects_.erase(it) : std::next(it);
    }
    if (suspects_.size() < capacity)
    {
        return;
    }
    auto const oldest = std::min_element(
        suspects_.begin(), suspects_.end(), [](auto const& a, auto const& b) {
            return a.second.expires_at < b.second.expires_at;
        });
    suspects_.erase(oldest);
}

std::set<fingerprint> suspect_list::poisoned(core::instant now) const
{
    std::set<fingerprint> out;
    for (auto const& [request, it] : suspects_)
    {
        if (it.expires_at > now && it.crashes.size() >= poison_threshold)
        {
            out.insert(request);
        }
    }
    return out;
}

std::vector<crash_notice> suspect_list::notices(core::instant now) const
{
    std::vector<crash_notice> out;
    for (auto const& [request, it] : suspects_)
    {
        for (auto const& crash : it.crashes)
        {
            if (it.expires_at > now)
            {
                out.push_back({request, crash});
            }
        }
    }
    return out;
}

std::optional<core::instant> suspect_list::next_timer(core::instant now) const
{
    std::optional<core::instant> earliest;
    for (auto const& [request, it] : suspects_)
    {
        if (it.expires_at > now && (!earliest || it.expires_at < *earliest))
        {
            earliest = it.expires_at;
        }
    }
    return earliest;
}

} // namespace yuccafall::poison
