// Tracks the data centres that the operator has asked to evacuate: nothing more
// is sent to their workers until the operator takes the evacuation back.
//
// The items come from the copy of the platform's store, which orders the
// changes of each key and persists through restarts and outages.
#ifndef YUCCAFALL_MEMBERSHIP_EVACUATIONS_HPP
#define YUCCAFALL_MEMBERSHIP_EVACUATIONS_HPP

#include <map>
#include <set>
#include <variant>

#include "core/ids.hpp"
#include "core/units.hpp"

namespace yuccafall::membership {

// The store holds an evacuation of the data centre.
struct evacuation_written
{
    core::data_centre data_centre;
    core::revision revision;
};
// The store no longer holds the evacuation.
struct evacuation_deleted
{
    core::data_centre data_centre;
};
using evacuation_event = std::variant<evacuation_written, evacuation_deleted>;

struct evacuation
{
    // The store revision at which it was written most recently.
    core::revision revision;
    // When this node learned that the data centre is evacuated.
    core::instant learned_at{};
};

class evacuations
{
public:
    // Returns true if the set of evacuated data centres has changed. Writing an
    // evacuation again does not change it.
    bool handle(evacuation_event const& event, core::instant now);

    bool contains(core::data_centre const& it) const
    {
        return evacuations_.count(it) != 0;
    }
    std::set<core::data_centre> data_centres() const;
    std::map<core::data_centre, evacuation> const& all() const
    {
        return evacuations_;
    }

private:
    bool on(evacuation_written const& it, core::instant now);
    bool on(evacuation_deleted const& it, core::instant);

    std::map<core::data_centre, evacuation> evacuations_;
};

} // namespace yuccafall::membership

#endif
