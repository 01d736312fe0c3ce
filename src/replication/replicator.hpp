// Keeps this node's copy of the platform's store current. Changes come from the
// store, from peers, or from both.
//
// A peer is a node with a connection to this one, whichever node opened it. A
// node that is not assigned as a reader receives changes from its sources. If
// none of the sources can confirm that the copy is current, the node reads the
// store itself until a source can confirm it again. A node that cannot reach
// the store therefore gets changes from its peers, and a node whose sources
// cannot reach the store gets them from the store.
#ifndef YUCCAFALL_REPLICATION_REPLICATOR_HPP
#define YUCCAFALL_REPLICATION_REPLICATOR_HPP

#include <cstdint>
#include <map>
#include <optional>
#include <variant>
#include <vector>

#include "replication/messages.hpp"
#include "replication/published_state.hpp"
#include "replication/store_reader.hpp"
#include "replication/topology.hpp"

namespace yuccafall::replication {

// Identifies a connection to another node. Either node may have opened it.
using link_id = core::strong<struct link_id_tag, std::uint64_t>;

struct replicator_settings
{
    core::data_centre own_data_centre;
    reader_settings reader;
    // Maximum age of a confirmation that the copy is current, counted from the
    // response of the store. If no peer gives a more recent one, the node reads
    // the store itself. The time is longer than the wait of a reader's watch
    // plus the propagation of its response to the last level of the tree.
    // Together with the read that follows, it is shorter than the two seconds
    // that the platform allows for a change to take effect.
    core::milliseconds staleness_limit{1'400};
    // A node that is notified of a newer revision by another data centre waits
    // this long for nodes of its own data centre to deliver it before it sends
    // a pull to the other data centre.
    core::milliseconds pull_delay{400};
    // How long a starting node waits for the first message of a peer before it
    // reads the store. The actual wait is random, between half and one and a
    // half times this.
    core::milliseconds initial_peer_wait{150};
    // How long a starting node that has a connected peer waits for the state
    // before it reads the store. Without this wait, nodes that start together
    // would all read the store at the same time. The time covers the start of
    // the peer and the peer's read of a store that is ten times slower than
    // usual.
    core::milliseconds connected_peer_wait{600};
    // A node starts to read the store as a reader only after it has been
    // assigned as a reader for this long. While the list of nodes grows at
    // startup, most nodes are briefly assigned as readers because the list is
    // short. Until the time has passed, a node reads the store only if no peer
    // confirms its copy.
    core::milliseconds reader_role_delay{500};
    // True if the settings list this node as a seed. A seed reads the store as
    // soon as it starts, because other nodes wait for the state it reads.
    bool is_seed = false;
};

// Events.
struct started
{};
struct link_opened
{
    link_id link;
};
struct link_lost
{
    link_id link;
};
struct message_received
{
    link_id link;
    message content;
};
// The list of nodes has changed, and this node's role was computed again.
struct role_assigned
{
    // Whether this node is assigned as a reader.
    bool reads_store = true;
};
// The time that replicator::next_timer() returned has been reached.
struct timer_expired
{};
using replicator_event =
    std::variant<started, link_opened, link_lost, message_received,
                 role_assigned, timer_expired, page_read, watch_answered,
                 history_discarded, history_too_large, call_failed>;

// Actions.
struct send_message
{
    link_id link;
    message content;
};
// Passes on the items that have changed in this node's copy.
struct deliver_items
{
    std::vector<store_item> items;
};
// Why a node reads the store or leaves that to its sources.
enum class reading_reason
{
    assigned_reader,
    // No peer has confirmed the copy within the staleness limit.
    unconfirmed_copy,
    // A peer confirms the copy, and this node is not assigned as a reader.
    confirmed_copy,
};
// The node has started or stopped reading the store.
struct report_reading_changed
{
    bool reads_store = false;
    reading_reason reason = reading_reason::unconfirmed_copy;
};
using replicator_action =
    std::variant<read_page, watch, send_message, deliver_items,
                 report_store_lost, report_store_regained,
                 report_reading_changed>;

class replicator
{
public:
    replicator(replicator_settings const& settings, std::uint64_t seed);

    std::vector<replicator_action> handle(replicator_event const& event,
                                          core::instant now);

    std::optional<core::instant> next_timer() const;

    published_state const& state() const { return state_; }
    // Returns whether this node reads the store at present, because it is a
    // reader or because no peer confirms its copy.
    bool reads_store() const { return reads_store_; }
    // Returns the time since the store or a peer last confirmed that the copy
    // is current.
    core::milliseconds confirmed_ago(core::instant now) const;
    std::size_t peer_count() const { return peers_.size(); }

private:
    using actions = std::vector<replicator_action>;

    struct peer_state
    {
        // Traffic between data centres costs more. A peer in another data
        // centre therefore gets only a digest, and gets changes when it sends a
        // pull.
        bool in_same_data_centre = false;
        // The lowest revision that the peer's copy can have. It is not set
        // until the peer has sent a message.
        std::optional<core::revision> as_of;
        // The revision that this node last announced to the peer.
        core::revision advertised;
        // The last time at which the peer's copy was known to be current.
        core::instant confirmed_at{};
    };

    void on(started const&, core::instant now, actions& out);
    void on(link_opened const& it, core::instant now, actions& out);
    void on(link_lost const& it, core::instant now, actions& out);
    void on(message_received const& it, core::instant now, actions& out);
    void on(role_assigned const& it, core::instant now, actions& out);
    void on(timer_expired const&, core::instant now, actions& out);
    void on(page_read const& it, core::instant now, actions& out);
    void on(watch_answered const& it, core::instant now, actions& out);
    void on(history_discarded const& it, core::instant now, actions& out);
    void on(history_too_large const& it, core::instant now, actions& out);
    void on(call_failed const& it, core::instant now, actions& out);

    void receive(link_id from, digest const& it, core::instant now,
                 actions& out);
    void receive(link_id from, changes const& it, core::instant now,
                 actions& out);
    void receive(link_id from, pull const& it, core::instant now, actions& out);

    void handle_reader_event(reader_event const& event, core::instant now,
                             actions& out);
    // Returns false if the change set could not be merged completely.
    bool apply(change_set const& it, actions& out);
    void record_confirmation(core::instant confirmed_at, core::instant now,
                             actions& out);
    // Sends each peer the changes that it is missing, or a digest if there is a
    // newer revision or confirmation to announce.
    void notify_peers(std::optional<link_id> except, core::instant now,
                      actions& out);
    void update_store_reading(core::instant now, actions& out);
    void send_due_pull(core::instant now, actions& out);
    digest own_digest(core::instant now) const;
    void send_changes(link_id to, core::revision base, core::instant now,
                      actions& out);

    replicator_settings settings_;
    published_state state_;
    store_reader reader_;
    core::random_source random_;
    std::map<link_id, peer_state> peers_;
    // Whether this node is assigned as a reader. Until the list of nodes is
    // known, only seeds are readers. Other nodes read the store only if no peer
    // confirms their copy.
    bool assigned_store_reader_;
    // When this node was last assigned as a reader. A seed, which is a reader
    // from its start, has the clock's epoch here.
    core::instant assigned_store_reader_since_{};
    bool reads_store_ = false;
    // The last time at which the copy was known to be current: the first member
    // counts confirmations by the store and by peers, the second only those by
    // peers.
    core::instant confirmed_at_{};
    core::instant confirmed_by_peers_at_{};
    // The value of confirmed_at_ that was last announced to peers.
    core::instant announced_confirmed_at_{};
    // While the node starts, the time until which it waits for the state from a
    // peer before it reads the store. It is not set after that wait.
    std::optional<core::instant> start_reading_at_;
    // Invariant: on a node that is not a seed, this is set whenever
    // start_reading_at_ is set.
    std::optional<core::instant> started_at_;
    // A pull that is sent to the peer `from` at the time `due`, unless the copy
    // has reached revision `target` by then.
    struct delayed_pull
    {
        core::instant due;
        link_id from;
        core::revision target;
    };
    std::optional<delayed_pull> delayed_pull_;
};

} // namespace yuccafall::replication

#endif
