// Applies the store's items to the set of evacuated data centres.
#include "membership/evacuations.hpp"

namespace yuccafall::membership {

bool evacuations::handle(evacuation_event const& event, core::instant now)
{
    return std::visit([&](auto const& it) { return on(it, now); }, event);
}

bool evacuations::on(evacuation_written const& it, core::instant now)
{
    auto const [entry, is_new] =
        evacuations_.emplace(it.data_centre, evacuation{it.revision, now});
    entry->second.revision = it.revision;
    return is_new;
}

bool evacuations::on(evacuation_deleted const& it, core::instant)
{
    return evacuations_.erase(it.data_centre) != 0;
}

std::set<core::data_centre> evacuations::data_centres() const
{
    std::set<core::data_centre> out;
    for (auto const& [name, it] : evacuations_)
    {
        out.insert(name);
    }
    return out;
}

} // namespace yuccafall::membership
