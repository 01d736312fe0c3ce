// Counting crashes by request.
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

bool suspect_list::merge(notice const& it, core::instant now)
{
    forget_old(now);
    auto& known = entries_[it.request];
    bool const is_new = known.crashes.insert(it.crash).second;
    if (is_new)
    {
        known.until = now + remembered;
    }
    return is_new;
}

void suspect_list::forget_old(core::instant now)
{
    for (auto it = entries_.begin(); it != entries_.end();)
    {
        it = it->second.until <= now ? entries_.erase(it) : std::next(it);
    }
    if (entries_.size() < capacity)
    {
        return;
    }
    auto const oldest = std::min_element(
        entries_.begin(), entries_.end(), [](auto const& a, auto const& b) {
            return a.second.until < b.second.until;
        });
    entries_.erase(oldest);
}

std::set<fingerprint> suspect_list::poisoned(core::instant now) const
{
    std::set<fingerprint> out;
    for (auto const& [request, it] : entries_)
    {
        if (it.until > now && it.crashes.size() >= crashes_of_poison)
        {
            out.insert(request);
        }
    }
    return out;
}

std::vector<notice> suspect_list::notices(core::instant now) const
{
    std::vector<notice> out;
    for (auto const& [request, it] : entries_)
    {
        for (auto const& crash : it.crashes)
        {
            if (it.until > now)
            {
                out.push_back({request, crash});
            }
        }
    }
    return out;
}

std::optional<core::instant> suspect_list::next_wake(core::instant now) const
{
    std::optional<core::instant> first;
    for (auto const& [request, it] : entries_)
    {
        if (it.until > now && (!first || it.until < *first))
        {
            first = it.until;
        }
    }
    return first;
}

} // namespace yuccafall::poison
