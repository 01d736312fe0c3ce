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

namespace {

// Removes expired entries and, if the map is still full, the one that expires
// first. `expires_at` returns the time of an entry.
template <class Map, class ExpiresAt>
void expire_and_evict(Map& entries, std::size_t capacity, core::instant now,
                      ExpiresAt expires_at)
{
    for (auto it = entries.begin(); it != entries.end();)
    {
        it = expires_at(it->second) <= now ? entries.erase(it) : std::next(it);
    }
    if (entries.size() < capacity)
    {
        return;
    }
    entries.erase(std::min_element(
        entries.begin(), entries.end(), [&](auto const& a, auto const& b) {
            return expires_at(a.second) < expires_at(b.second);
        }));
}

} // namespace

bool suspect_list::merge(notice const& it, core::instant now)
{
    return std::visit([&](auto const& n) { return merge_notice(n, now); }, it);
}

bool suspect_list::is_cleared(fingerprint const& request,
                              core::instant now) const
{
    auto const found = cleared_.find(request);
    return found != cleared_.end() && found->second > now;
}

bool suspect_list::merge_notice(completion_notice const& it, core::instant now)
{
    auto const remaining =
        std::min<core::milliseconds>(it.remaining, cleared_ttl);
    if (remaining.count() <= 0 || is_cleared(it.request, now))
    {
        return false;
    }
    expire_and_evict(cleared_, capacity, now,
                     [](core::instant expires_at) { return expires_at; });
    cleared_[it.request] = now + remaining;
    suspects_.erase(it.request);
    return true;
}

bool suspect_list::merge_notice(crash_notice const& it, core::instant now)
{
    if (is_cleared(it.request, now))
    {
        return false;
    }
    expire_and_evict(suspects_, capacity, now,
                     [](suspect const& s) { return s.expires_at; });
    auto& current = suspects_[it.request];
    bool const is_new = current.crashes.insert(it.crash).second;
    if (is_new)
    {
        current.expires_at = now + suspect_ttl;
    }
    return is_new;
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

std::set<fingerprint> suspect_list::suspects(core::instant now) const
{
    std::set<fingerprint> out;
    for (auto const& [request, it] : suspects_)
    {
        if (it.expires_at > now)
        {
            out.insert(request);
        }
    }
    return out;
}

std::vector<notice> suspect_list::notices(core::instant now) const
{
    std::vector<notice> out;
    for (auto const& [request, expires_at] : cleared_)
    {
        if (expires_at > now)
        {
            out.emplace_back(completion_notice{
                request, std::chrono::duration_cast<core::milliseconds>(
                             expires_at - now)});
        }
    }
    for (auto const& [request, it] : suspects_)
    {
        for (auto const& crash : it.crashes)
        {
            if (it.expires_at > now)
            {
                out.emplace_back(crash_notice{request, crash});
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
