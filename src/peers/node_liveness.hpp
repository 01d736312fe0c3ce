// Decides whether a node is unresponsive: it has sent no byte over any of its
// links for some time although a ping was sent to it. A node may be slow
// without having failed, so its connections stay open. New calls avoid it (see
// balancing/upstream_scores), and open calls that may be offered again leave it
// (see ingress/next_step).
#ifndef YUCCAFALL_PEERS_NODE_LIVENESS_HPP
#define YUCCAFALL_PEERS_NODE_LIVENESS_HPP

#include <cstddef>

#include "core/units.hpp"

namespace yuccafall::peers {

struct node_liveness_settings
{
    // A node is unresponsive after this long without a byte. It is shorter than
    // most deadlines, and leaves time for one retransmission of the ping, which
    // takes 200 ms or more.
    core::milliseconds unresponsive_after{350};
    // A check that runs later than this after it was due shows that the event
    // loop of this node was delayed, so that bytes may have arrived unread.
    core::milliseconds max_loop_delay{50};
};

// Not thread-safe. One object serves all links to one node.
class node_liveness
{
public:
    explicit node_liveness(node_liveness_settings settings = {})
        : settings_(settings)
    {}

    // Silence counts from the first open call, unless a ping is unanswered:
    // calls with short deadlines must not start it anew.
    void record_call_opened(core::instant now);
    void record_call_closed();
    void record_ping() { pinged_ = true; }

    // The following three return true if the node changes between responsive
    // and unresponsive. `at` is when the most recent byte arrived; a time that
    // is not later than the previous one has no effect.
    bool record_byte(core::instant at);
    // The node is responsive again, because a lost connection is handled as a
    // failure of its calls.
    bool record_connection_lost(core::instant now);
    // `due` is when the caller's timer was to run this check.
    bool check(core::instant due, core::instant now);

    bool unresponsive() const { return unresponsive_; }
    bool ping_unanswered() const { return pinged_; }
    core::duration silence(core::instant now) const
    {
        return now - silent_since_;
    }

private:
    bool end_silence(core::instant at);

    node_liveness_settings settings_;
    std::size_t open_calls_ = 0;
    core::instant last_byte_{};
    // The time of the last byte, or a later one if no byte was expected or
    // this node could not read.
    core::instant silent_since_{};
    // A ping has been sent since the last byte.
    bool pinged_ = false;
    // Invariant: set only while pinged_ is set.
    bool unresponsive_ = false;
};

} // namespace yuccafall::peers

#endif
