// What nodes tell each other of the platform's store. A connection serves both
// ways: whoever is behind gets what it lacks.
#ifndef YUCCAFALL_REPLICATION_MESSAGES_HPP
#define YUCCAFALL_REPLICATION_MESSAGES_HPP

#include <variant>

#include "core/units.hpp"
#include "replication/published_state.hpp"

namespace yuccafall::replication {

// What the sender holds. Sent when a connection opens, and whenever the store
// has confirmed it anew.
struct digest
{
    core::revision as_of;
    // Since the store last answered that this is its newest state.
    core::milliseconds confirmed_ago{0};
    // Of the sender.
    core::data_centre data_centre;
};

struct changes
{
    change_set set;
    core::milliseconds confirmed_ago{0};
};

// Asks for the changes after this revision; 0 asks for the whole state.
struct pull
{
    core::revision as_of;
};

using message = std::variant<digest, changes, pull>;

} // namespace yuccafall::replication

#endif
