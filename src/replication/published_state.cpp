// Merges change sets into a copy and computes the changes another copy needs.
#include "replication/published_state.hpp"

#include <algorithm>
#include <utility>

#include "core/log.hpp"
#include "replication/compression.hpp"

namespace yuccafall::replication {

std::optional<store_item> published_state::find(std::string const& key) const
{
    auto const found = items_.find(key);
    if (found == items_.end() || found->second.deleted)
    {
        return std::nullopt;
    }
    return store_item{key, found->second.value, found->second.revision};
}

merge_result published_state::apply(change_set const& changes)
{
    bool const whole = changes.base.value() == 0;
    if (!whole && changes.base > as_of_)
    {
        return {{}, false};
    }
    merge_result out;
    std::set<std::string_view> listed_keys;
    for (auto const& it : changes.items)
    {
        listed_keys.insert(it.key);
        merge(it, out.updates);
    }
    for (auto const& it : changes.compressed)
    {
        listed_keys.insert(it.key);
        out.complete = merge(it, out.updates) && out.complete;
    }
    if (!out.complete)
    {
        return out;
    }
    if (changes.as_of <= as_of_)
    {
        return out;
    }
    delete_missing(listed_keys, changes, out.updates);
    if (whole || !changes.lists_all_deletions)
    {
        record_missing_tombstones(changes.as_of);
    }
    as_of_ = changes.as_of;
    purge_tombstones();
    return out;
}

void published_state::record_missing_tombstones(core::revision as_of)
{
    // A whole state that was read page by page may already lack items that were
    // deleted after its revision, if the store did not keep the history that
    // store_reader needs to make it exact. Only changes that list all deletions
    // add their tombstones; without them the span goes on.
    if (as_of_ != incomplete_span_.after)
    {
        purged_up_to_ = std::max(purged_up_to_, incomplete_span_.after);
        incomplete_span_.before = as_of_;
    }
    incomplete_span_.after = as_of;
}

bool published_state::is_superseded(std::string const& key,
                                    core::revision revision) const
{
    auto const found = items_.find(key);
    return revision <= as_of_ ||
           (found != items_.end() && found->second.revision >= revision);
}

void published_state::merge(store_item const& it,
                            std::vector<store_item>& updates)
{
    if (is_superseded(it.key, it.revision))
    {
        return;
    }
    auto& local = items_[it.key];
    if (it.value.size() >= min_compressed_size &&
        local.value.size() >= min_compressed_size)
    {
        auto frame = compress(it.value, local.value);
        if (frame)
        {
            add_patch(local,
                      {it.key, it.revision, local.revision, std::move(*frame)});
        }
        else
        {
            core::log_event(
                core::log_level::warning, "patch_not_made",
                {{"key", it.key}, {"reason", frame.error().detail}});
            local.patches.clear();
        }
    }
    else
    {
        local.patches.clear();
    }
    local.frame.clear();
    replace(local, it, updates);
}

bool published_state::merge(compressed_item const& it,
                            std::vector<store_item>& updates)
{
    if (is_superseded(it.key, it.revision))
    {
        return true;
    }
    bool const is_patch = it.patch_of.value() != 0;
    auto const found = items_.find(it.key);
    if (is_patch &&
        (found == items_.end() || found->second.revision != it.patch_of ||
         found->second.deleted))
    {
        return false;
    }
    auto& local = items_[it.key];
    auto value = decompress(it.frame, is_patch ? local.value : std::string());
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
        add_patch(local, it);
        local.frame.clear();
    }
    else
    {
        local.patches.clear();
        local.frame = it.frame;
    }
    replace(local, {it.key, std::move(*value), it.revision, false}, updates);
    return true;
}

void published_state::replace(key_state& local, store_item const& newer,
                              std::vector<store_item>& updates)
{
    bool const was_present = local.revision.value() != 0 && !local.deleted;
    tombstones_ += newer.deleted ? 1 : 0;
    tombstones_ -= local.deleted ? 1 : 0;
    local.value = newer.value;
    local.revision = newer.revision;
    local.deleted = newer.deleted;
    if (newer.deleted && !was_present)
    {
        return;
    }
    // The result lists only the newest item of each key, not the intermediate
    // ones.
    auto const same =
        std::find_if(updates.begin(), updates.end(),
                     [&](store_item const& it) { return it.key == newer.key; });
    if (same != updates.end())
    {
        *same = newer;
        return;
    }
    updates.push_back(newer);
}

void published_state::add_patch(key_state& local, compressed_item patch)
{
    if (local.patches.size() >= max_patches_per_key)
    {
        local.patches.erase(local.patches.begin());
    }
    local.patches.push_back(std::move(patch));
}

// Deletes the items that the changes would list if the store still held them.
void published_state::delete_missing(
    std::set<std::string_view> const& listed_keys, change_set const& changes,
    std::vector<store_item>& updates)
{
    for (auto& [key, local] : items_)
    {
        bool const would_be_listed =
            local.revision > changes.base && local.revision <= changes.as_of;
        if (!local.deleted && would_be_listed && listed_keys.count(key) == 0)
        {
            local.patches.clear();
            local.frame.clear();
            replace(local, {key, {}, changes.as_of, true}, updates);
        }
    }
}

void published_state::purge_tombstones()
{
    if (tombstones_ <= max_tombstones)
    {
        return;
    }
    for (auto it = items_.begin(); it != items_.end();)
    {
        if (it->second.deleted)
        {
            purged_up_to_ = std::max(purged_up_to_, it->second.revision);
            it = items_.erase(it);
            continue;
        }
        ++it;
    }
    tombstones_ = 0;
}

bool published_state::lacks_tombstones_for(core::revision base) const
{
    return base < purged_up_to_ ||
           (base > incomplete_span_.before && base < incomplete_span_.after);
}

change_set published_state::since(core::revision base)
{
    bool const whole = base.value() == 0 || lacks_tombstones_for(base);
    change_set out{whole ? core::revision() : base,
                   as_of_,
                   {},
                   {},
                   base >= incomplete_span_.after};
    for (auto& [key, local] : items_)
    {
        bool const is_missing = whole ? !local.deleted : local.revision > base;
        if (!is_missing)
        {
            continue;
        }
        if (local.value.size() >= min_compressed_size)
        {
            append_compressed(out, key, local);
            continue;
        }
        out.items.push_back({key, local.value, local.revision, local.deleted});
    }
    return out;
}

// Appends either the patches or the whole value. A copy as of `base` holds the
// last value that was written up to revision `base`. The first patch that is
// newer than `base` applies to that value if its patch_of is not newer than
// `base`; in that case the patches from there on are enough.
void published_state::append_compressed(change_set& to, std::string const& key,
                                        key_state& local)
{
    auto const first = std::find_if(
        local.patches.begin(), local.patches.end(),
        [&](compressed_item const& it) { return it.revision > to.base; });
    if (to.base.value() != 0 && first != local.patches.end() &&
        first->patch_of <= to.base)
    {
        to.compressed.insert(to.compressed.end(), first, local.patches.end());
        return;
    }
    if (local.frame.empty())
    {
        auto frame = compress(local.value, {});
        if (!frame)
        {
            core::log_event(core::log_level::warning, "value_not_compressed",
                            {{"key", key}, {"reason", frame.error().detail}});
            to.items.push_back({key, local.value, local.revision, false});
            return;
        }
        local.frame = std::move(*frame);
    }
    to.compressed.push_back({key, local.revision, {}, local.frame});
}

} // namespace yuccafall::replication
