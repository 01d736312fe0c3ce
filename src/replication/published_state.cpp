// Merging of copies.
#include "replication/published_state.hpp"

#include <algorithm>
#include <utility>

#include "core/log.hpp"
#include "replication/compression.hpp"

namespace yuccafall::replication {

merge_result published_state::apply(change_set const& changes)
{
    bool const whole = changes.base.value() == 0;
    if (!whole && changes.base > as_of_)
    {
        return {{}, false};
    }
    merge_result out;
    std::set<std::string_view> named;
    for (auto const& it : changes.items)
    {
        named.insert(it.key);
        merge(it, out.news);
    }
    for (auto const& it : changes.compressed)
    {
        named.insert(it.key);
        out.complete = merge(it, out.news) && out.complete;
    }
    if (!out.complete)
    {
        return out;
    }
    if (whole)
    {
        delete_unnamed(named, changes.as_of, out.news);
    }
    as_of_ = std::max(as_of_, changes.as_of);
    forget_deletions();
    return out;
}

void published_state::merge(item const& it, std::vector<item>& news)
{
    auto const found = items_.find(it.key);
    if (found != items_.end() && found->second.revision >= it.revision)
    {
        return;
    }
    auto& mine = items_[it.key];
    if (it.value.size() >= large_value && mine.value.size() >= large_value)
    {
        auto frame = compress(it.value, mine.value);
        if (frame)
        {
            keep_patch(mine,
                       {it.key, it.revision, mine.revision, std::move(*frame)});
        }
        else
        {
            core::log_event(
                core::log_level::warning, "patch_not_made",
                {{"key", it.key}, {"reason", frame.error().detail}});
            mine.patches.clear();
        }
    }
    else
    {
        mine.patches.clear();
    }
    mine.frame.clear();
    replace(mine, it, news);
}

bool published_state::merge(compressed_item const& it, std::vector<item>& news)
{
    bool const is_patch = it.patch_of.value() != 0;
    auto const found = items_.find(it.key);
    auto const held_as_of =
        found == items_.end() ? core::revision() : found->second.revision;
    if (held_as_of >= it.revision)
    {
        return true;
    }
    if (is_patch && (held_as_of != it.patch_of || found->second.deleted))
    {
        return false;
    }
    auto& mine = items_[it.key];
    auto value = decompress(it.frame, is_patch ? mine.value : std::string());
    if (!value)
    {
        core::log_event(core::log_level::warning, "compressed_value_refused",
                        {{"key", it.key},
                         {"revision", it.revision.value()},
                         {"patch_of", it.patch_of.value()},
                         {"reason", value.error().detail}});
        return false;
    }
    if (is_patch)
    {
        keep_patch(mine, it);
        mine.frame.clear();
    }
    else
    {
        mine.patches.clear();
        mine.frame = it.frame;
    }
    replace(mine, {it.key, std::move(*value), it.revision, false}, news);
    return true;
}

void published_state::replace(held& mine, item const& by,
                              std::vector<item>& news)
{
    bool const was_held = mine.revision.value() != 0 && !mine.deleted;
    deletions_ += by.deleted ? 1 : 0;
    deletions_ -= mine.deleted ? 1 : 0;
    mine.value = by.value;
    mine.revision = by.revision;
    mine.deleted = by.deleted;
    if (by.deleted && !was_held)
    {
        return;
    }
    // Takers want the newest state, not the way there.
    auto const same =
        std::find_if(news.begin(), news.end(),
                     [&](item const& it) { return it.key == by.key; });
    if (same != news.end())
    {
        *same = by;
        return;
    }
    news.push_back(by);
}

void published_state::keep_patch(held& mine, compressed_item patch)
{
    if (mine.patches.size() >= most_patches)
    {
        mine.patches.erase(mine.patches.begin());
    }
    mine.patches.push_back(std::move(patch));
}

// What the whole state does not name was deleted before it was read.
void published_state::delete_unnamed(std::set<std::string_view> const& named,
                                     core::revision as_of,
                                     std::vector<item>& news)
{
    for (auto& [key, mine] : items_)
    {
        if (!mine.deleted && mine.revision <= as_of && named.count(key) == 0)
        {
            mine.patches.clear();
            mine.frame.clear();
            replace(mine, {key, {}, as_of, true}, news);
        }
    }
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

change_set published_state::since(core::revision base)
{
    bool const whole = base.value() == 0 || base < forgotten_;
    change_set out{whole ? core::revision() : base, as_of_, {}, {}};
    for (auto& [key, mine] : items_)
    {
        bool const is_lacking = whole ? !mine.deleted : mine.revision > base;
        if (!is_lacking)
        {
            continue;
        }
        if (mine.value.size() >= large_value)
        {
            append_large(out, key, mine);
            continue;
        }
        out.items.push_back({key, mine.value, mine.revision, mine.deleted});
    }
    return out;
}

// A copy as of `base` holds the newest value that is not newer than `base`: the
// one that the first newer patch was made of, if its patch_of is not newer.
void published_state::append_large(change_set& to, std::string const& key,
                                   held& mine)
{
    auto const first = std::find_if(
        mine.patches.begin(), mine.patches.end(),
        [&](compressed_item const& it) { return it.revision > to.base; });
    if (to.base.value() != 0 && first != mine.patches.end() &&
        first->patch_of <= to.base)
    {
        to.compressed.insert(to.compressed.end(), first, mine.patches.end());
        return;
    }
    if (mine.frame.empty())
    {
        auto frame = compress(mine.value, {});
        if (!frame)
        {
            core::log_event(core::log_level::warning, "value_not_compressed",
                            {{"key", key}, {"reason", frame.error().detail}});
            to.items.push_back({key, mine.value, mine.revision, false});
            return;
        }
        mine.frame = std::move(*frame);
    }
    to.compressed.push_back({key, mine.revision, {}, mine.frame});
}

} // namespace yuccafall::replication
