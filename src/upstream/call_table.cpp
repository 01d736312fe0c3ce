// Implements the table of the calls that have been offered to the local worker.
#include "upstream/call_table.hpp"

namespace yuccafall::upstream {

call_key call_table::add(call_entry call)
{
    call_key const key{core::incarnation(0), ++last_key_};
    keys_.emplace(std::pair(call.session, call.offer.call), key);
    calls_.emplace(key, std::move(call));
    return key;
}

std::optional<call_key> call_table::find_key(session_id session,
                                             core::call_id const& call) const
{
    auto const found = keys_.find({session, call});
    return found == keys_.end() ? std::nullopt : std::optional(found->second);
}

call_entry* call_table::find(call_key const& key)
{
    auto const found = calls_.find(key);
    return found == calls_.end() ? nullptr : &found->second;
}

call_entry call_table::remove(call_key const& key)
{
    auto const found = calls_.find(key);
    auto out = std::move(found->second);
    calls_.erase(found);
    keys_.erase({out.session, out.offer.call});
    return out;
}

std::vector<call_key> call_table::calls_of(session_id session) const
{
    std::vector<call_key> out;
    for (auto const& [session_call, key] : keys_)
    {
        if (session_call.first == session)
        {
            out.push_back(key);
        }
    }
    return out;
}

} // namespace yuccafall::upstream
