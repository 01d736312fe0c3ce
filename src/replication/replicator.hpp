// Keeps this node's copy of the store current: from the store itself, from
// peers, or both.
//
// A node that is no reader gets changes from its sources. When none of them can
// show that what it holds is current, the node reads the store itself until one
// can again. So a node that is cut off from the store lives on its peers, and
// one whose sources are cut off on the store.
#ifndef YUCCAFALL_REPLICATION_REPLICATOR_HPP
#define YUCCAFALL_REPLICATION_REPLICATOR_HPP

#include <cstdint>
#include <map>
#include <optional>
#include <variant>
#include <vector>

#include "replication/messages.hpp"
#include "replication/neighbours.hpp"
#include "replication/published_state.hpp"
#include "replication/store_reader.hpp"

namespace yuccafall::replication {

// One connection to another node, whoever opened it.
using link_id = core::strong<struct link_id_tag, std::uint64_t>;

struct replicator_settings
{
    core::data_centre own;
    reader_settings reader;
    // A source that cannot show what it holds to be newer than this is not
    // relied on. More than a reader's watch and the way to the last level;
    // with the read that follows, less than the platform's two seconds for a
    // change to be in force.
    core::milliseconds stale_after{1'400};
    // A node that hears of news from another data centre waits this long for
    // its own to bring them.
    core::milliseconds pull_after{400};
    // For the first word of a peer, before a node that starts asks the store.
    core::milliseconds start_patience{150};
    // The same once a peer is connected. A fleet that starts together would
    // otherwise ask the store all at once; this covers a peer's own start and
    // its read of a store that is ten times slower than usual.
    core::milliseconds connected_patience{600};
    // A node takes the duty to read once it has been assigned for so long.
    // While the list of nodes grows at a start, most find themselves among the
    // first of it for a moment. Until then it reads only where it is not fed.
    core::milliseconds duty_settles{500};
    // Listed as a seed: others wait for what this node reads.
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
// The nodes that are listed have changed.
struct duty_assigned
{
    bool reads_store = true;
};
struct clock_moved
{};
using replicator_event =
    std::variant<started, link_opened, link_lost, message_received,
                 duty_assigned, clock_moved, page_read, watch_answered,
                 history_gone, call_failed>;

// Actions.
struct send_message
{
    link_id link;
    message content;
};
// Items that are new to this node.
struct take_items
{
    std::vector<item> items;
};
using replicator_action =
    std::variant<read_page, watch, send_message, take_items, report_lost,
                 report_regained>;

class replicator
{
public:
    replicator(replicator_settings const& settings, std::uint64_t seed);

    std::vector<replicator_action> handle(replicator_event const& event,
                                          core::instant now);

    std::optional<core::instant> next_wake() const;

    published_state const& state() const { return state_; }
    bool reads_store() const { return reading_; }
    // Since the store or a peer last showed that the copy is current.
    core::milliseconds confirmed_ago(core::instant now) const;
    std::size_t links() const { return links_.size(); }

private:
    using actions = std::vector<replicator_action>;

    struct peer_state
    {
        // In this data centre. Bytes between data centres cost more: there a
        // node says what it holds, and sends it when asked.
        bool is_near = false;
        // What it holds, at least. Unknown until it has said something.
        std::optional<core::revision> as_of;
        // What it has been told that this node holds.
        core::revision told;
        // When what it holds was last known to be current.
        core::instant confirmed{};
    };

    void on(started const&, core::instant now, actions& out);
    void on(link_opened const& it, core::instant now, actions& out);
    void on(link_lost const& it, core::instant now, actions& out);
    void on(message_received const& it, core::instant now, actions& out);
    void on(duty_assigned const& it, core::instant now, actions& out);
    void on(clock_moved const&, core::instant now, actions& out);
    void on(page_read const& it, core::instant now, actions& out);
    void on(watch_answered const& it, core::instant now, actions& out);
    void on(history_gone const& it, core::instant now, actions& out);
    void on(call_failed const& it, core::instant now, actions& out);

    void receive(link_id from, digest const& it, core::instant now,
                 actions& out);
    void receive(link_id from, changes const& it, core::instant now,
                 actions& out);
    void receive(link_id from, pull const& it, core::instant now, actions& out);

    void ask_reader(reader_event const& event, core::instant now, actions& out);
    // False where the set could not be merged whole.
    bool apply(change_set const& it, actions& out);
    void confirm(core::instant when, core::instant now, actions& out);
    // Sends what each peer lacks, or that what it holds has been confirmed.
    void tell_peers(std::optional<link_id> except, core::instant now,
                    actions& out);
    void consider_duty(core::instant now, actions& out);
    void consider_pull(core::instant now, actions& out);
    digest own_digest(core::instant now) const;
    void send_changes(link_id to, core::revision base, core::instant now,
                      actions& out);

    replicator_settings settings_;
    published_state state_;
    store_reader reader_;
    core::random_source random_;
    std::map<link_id, peer_state> links_;
    // Until the nodes are known only seeds have the duty; others read where
    // they are not fed.
    bool assigned_;
    core::instant assigned_since_{};
    bool reading_ = false;
    // The newest moment at which the copy was known to be current, by any way
    // and by peers alone.
    core::instant confirmed_{};
    core::instant confirmed_by_peers_{};
    core::instant told_{};
    std::optional<core::instant> start_reading_at_;
    // Invariant: set while start_reading_at_ is.
    std::optional<core::instant> started_;
    struct delayed_pull
    {
        core::instant due;
        link_id from;
        core::revision until;
    };
    std::optional<delayed_pull> pull_;
};

} // namespace yuccafall::replication

#endif
