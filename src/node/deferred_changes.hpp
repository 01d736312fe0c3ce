// Decides when long changes may be sent to another node, so that a frame above
// the limit of the memory part does not end other transfers, and is not ended
// for them. Changes that must wait are not kept: the link waits, and they are
// collected again when it is its turn. It does no I/O.
#ifndef YUCCAFALL_NODE_DEFERRED_CHANGES_HPP
#define YUCCAFALL_NODE_DEFERRED_CHANGES_HPP

#include <list>
#include <memory>
#include <optional>

#include "core/memory_part.hpp"
#include "replication/replicator.hpp"

namespace yuccafall::node {

// A link whose changes wait for memory.
struct deferred_link
{
    replication::link_id link;
    // The revision that the other node has, as far as it is known.
    core::revision base;
    // Size of the frame that did not fit. The next one may differ.
    core::byte_count size;
};

// Not thread-safe; used on the thread of the memory part.
class deferred_changes
{
public:
    explicit deferred_changes(std::shared_ptr<core::memory_part> memory)
        : memory_(std::move(memory))
    {}

    // Returns whether a frame of this size, which carries the changes since the
    // base, may be sent now. Otherwise the link waits. Links that wait go
    // first. A frame above the limit waits until nothing else is held, and all
    // others wait while it is sent; slow holders are ended for it. Without such
    // a frame nothing waits, and the connection that sends makes room.
    bool admit(deferred_link const& it, core::instant now);

    bool is_waiting(replication::link_id link) const;
    // Records the revision that the node has stated. Has no effect unless the
    // link waits.
    void set_base(replication::link_id link, core::revision base);
    void remove(replication::link_id link);

    // Returns the link that has waited longest if there is room for its frame,
    // and removes it. The changes may then be passed to admit() before those of
    // all others.
    std::optional<deferred_link> take_next(core::instant now);

    // Returns the size of the frame that waits for room, or nothing if no link
    // waits.
    std::optional<core::byte_count> needed() const;

private:
    bool make_room(core::byte_count size, core::instant now);

    std::shared_ptr<core::memory_part> const memory_;
    // Invariant: no link is listed twice; the one that has waited longest is at
    // the front.
    std::list<deferred_link> waiting_;
    // The last result of take_next(), which does not queue behind the others.
    replication::link_id resumed_;
};

} // namespace yuccafall::node

#endif
