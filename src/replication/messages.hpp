// Messages that nodes exchange to replicate the content of the platform's
// store. Both ends of a connection send and receive changes: the end whose copy
// is older gets the changes that it is missing.
#ifndef YUCCAFALL_REPLICATION_MESSAGES_HPP
#define YUCCAFALL_REPLICATION_MESSAGES_HPP

#include <variant>

#include "core/units.hpp"
#include "replication/published_state.hpp"

namespace yuccafall::replication {

// Announces the revision of the sender's copy. It is sent when a connection
// opens, and again after the store has confirmed that the copy is current.
struct digest
{
    core::revision as_of;
    // Time since the store last confirmed that `as_of` is its newest revision.
    core::milliseconds confirmed_ago{0};
    // The sender's data centre.
    core::data_centre data_centre;
};

// Carries the changes that the receiver is missing.
struct changes
{
    change_set set;
    // Time since the store last confirmed the sender's copy.
    core::milliseconds confirmed_ago{0};
};

// Requests the changes after revision `as_of`, which is the revision of the
// sender's copy. Revision 0 requests the whole state.
struct pull
{
    core::revision as_of;
};

using message = std::variant<digest, changes, pull>;

} // namespace yuccafall::replication

#endif
