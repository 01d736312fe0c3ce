// Collects the pages and the changes of a read of the whole state.
#include "replication/whole_state_read.hpp"

#include <algorithm>

namespace yuccafall::replication {

std::string whole_state_read::last_key() const
{
    return last_key_;
}

void whole_state_read::add_page(std::vector<store_item> const& items,
                                core::revision as_of)
{
    complete_to_ = std::min(complete_to_.value_or(as_of), as_of);
    newest_ = std::max(newest_, as_of);
    for (auto const& it : items)
    {
        add(it);
        last_key_ = it.key;
    }
}

void whole_state_read::add_changes(std::vector<store_item> const& items,
                                   core::revision as_of)
{
    for (auto const& it : items)
    {
        add(it);
    }
    complete_to_ = std::max(complete_to(), as_of);
}

void whole_state_read::add(store_item const& it)
{
    auto const [found, inserted] = items_.emplace(it.key, it);
    if (!inserted && found->second.revision < it.revision)
    {
        found->second = it;
    }
}

change_set whole_state_read::to_change_set() const
{
    change_set out;
    out.as_of = complete_to();
    for (auto const& [key, it] : items_)
    {
        if (!it.deleted)
        {
            out.items.push_back(it);
        }
    }
    return out;
}

} // namespace yuccafall::replication
