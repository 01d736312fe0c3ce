// Merging of copies.
#include "replication/published_state.hpp"

#include <algorithm>
#include <set>

namespace yuccafall::replication {

std::optional<std::vector<item>>
published_state::apply(change_set const& changes)
{
    bool const whole = changes.base.value() == 0;
    if (!whole && changes.base > as_of_)
    {
        return std::nullopt;
    }
    std::vector<item> news;
    std::set<std::string_view> named;
    for (auto const& it : changes.items)
    {
        named.insert(it.key);
        auto const found = items_.find(it.key);
        if (found != items_.end() && found->second.revision >= it.revision)
        {
            continue;
        }
        bool const was_held = found != items_.end() && !found->second.deleted;
        auto& mine = items_[it.key];
        deletions_ += it.deleted ? 1 : 0;
        deletions_ -= mine.deleted ? 1 : 0;
        mine = {it.value, it.revision, it.deleted};
        if (!it.deleted || was_held)
        {
            news.push_back(it);
        }
    }
    if (whole)
    {
        // What the whole state does not name was deleted before it was read.
        for (auto& [key, mine] : items_)
        {
            if (!mine.deleted && mine.revision <= changes.as_of &&
                named.count(key) == 0)
            {
                mine = {{}, changes.as_of, true};
                ++deletions_;
                news.push_back({key, {}, changes.as_of, true});
            }
        }
    }
    as_of_ = std::max(as_of_, changes.as_of);
    forget_deletions();
    return news;
}

void published_state::forget_deletions()
{
    if (deletions_ <= most_deletions)
    {
        return;
    }
    for (auto it = items_.begin(); it != items_.end();)
    {
        if (it->second.deleted)
        {
            forgotten_ = std::max(forgotten_, it->second.revision);
            it = items_.erase(it);
            continue;
        }
        ++it;
    }
    deletions_ = 0;
}

change_set published_state::since(core::revision base) const
{
    bool const whole = base.value() == 0 || base < forgotten_;
    change_set out{whole ? core::revision() : base, as_of_, {}};
    for (auto const& [key, mine] : items_)
    {
        if (whole ? !mine.deleted : mine.revision > base)
        {
            out.items.push_back({key, mine.value, mine.revision, mine.deleted});
        }
    }
    return out;
}

} // namespace yuccafall::replication
