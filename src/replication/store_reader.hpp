// Decides when this node calls the platform's store. The store reader reads the
// whole state, which is all items of the store, once. After that it watches the
// store: a watch is a call that the store holds open until there are changes
// after a given revision.
#ifndef YUCCAFALL_REPLICATION_STORE_READER_HPP
#define YUCCAFALL_REPLICATION_STORE_READER_HPP

#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "core/random.hpp"
#include "core/units.hpp"
#include "replication/published_state.hpp"
#include "replication/whole_state_read.hpp"

namespace yuccafall::replication {

struct reader_settings
{
    // How long the store may hold a watch open before it responds. If the
    // connection was cut without a TCP reset, or if the watch has missed
    // changes, this is noticed only when the watch ends. Therefore this time
    // plus the time for a response and for a second call stays below the two
    // seconds that the platform allows for a change to take effect.
    core::milliseconds watch_wait{1'000};
    // How long the store may take to respond, in addition to the wait of a
    // watch. The limit starts at the first value, doubles with each failed call
    // up to the second one, and is back at the first one after a response. A
    // store that is a hundred times slower than usual meets the first value.
    core::milliseconds min_response_timeout{600};
    core::milliseconds max_response_timeout{2'400};
    // Delay between the end of a watch that returned changes and the start of
    // the next watch, so that changes in quick succession are read with one
    // call.
    core::milliseconds batch_delay{150};
    // Initial and maximum backoff after failed calls. The backoff doubles with
    // each further failure.
    core::milliseconds min_backoff{100};
    core::milliseconds max_backoff{800};
};

// Events.
struct page_read
{
    std::vector<store_item> items;
    // The store's revision when it returned the page.
    core::revision as_of;
    // True if the store has more items after the last item of this page.
    bool truncated = false;
};
// The store has responded to a watch.
struct watch_answered
{
    // The changes after the revision of the watch. The list is empty if there
    // were none within the time that the watch may stay open.
    std::vector<store_item> items;
    core::revision as_of;
};
// The store no longer has the change history after the revision of the watch.
struct history_discarded
{};
// The response to a watch exceeds the size that the client accepts, because it
// lists every version of each value.
struct history_too_large
{};
struct call_failed
{
    std::string reason;
    // True if the connection ended while the store held the call, without a
    // response and before the timeout. The store was available until then.
    bool closed_by_store = false;
};
// The time that store_reader::next_timer() returned has been reached.
struct reader_timer_expired
{};
// Changes from other nodes have brought the copy of this node to the revision.
struct revision_advanced
{
    core::revision as_of;
};
// Turns reading of the store on or off for this node.
struct reading_toggled
{
    bool enabled = true;
};
using reader_event =
    std::variant<page_read, watch_answered, history_discarded,
                 history_too_large, call_failed, reader_timer_expired,
                 revision_advanced, reading_toggled>;

// Which connection carries a call.
enum class connection_use
{
    // The open connection if there is one.
    keep,
    // A new one. An open connection may have gone silent while it was idle,
    // which only a call that gets no response would show.
    renew,
};
struct call_options
{
    // Limits the time to open a connection, the time until the response begins,
    // beyond the wait of a watch, and each pause within the response.
    core::milliseconds response_timeout{0};
    connection_use connection = connection_use::keep;
};

// Actions. The store's response to a call is reported as one of the events
// page_read, watch_answered, history_discarded, history_too_large and
// call_failed.
struct read_page
{
    // The page starts after this key. An empty key requests the first page.
    std::string after_key;
    call_options options;
};
// Calls the store for the changes after revision `after`.
struct watch
{
    core::revision after;
    // How long the store may hold the watch open if there are no changes.
    core::milliseconds wait;
    call_options options;
};
// Merges the changes into the copy of this node.
struct apply_changes
{
    change_set changes;
};
struct report_store_lost
{
    std::string reason;
};
// The store responds again.
struct report_store_regained
{
    // The last time before the first failed call at which the store is known to
    // have been available. It is the clock's epoch if that is not known.
    core::instant last_available_at{};
};
using reader_action = std::variant<read_page, watch, apply_changes,
                                   report_store_lost, report_store_regained>;

class store_reader
{
public:
    store_reader(reader_settings settings, std::uint64_t seed)
        : settings_(settings), random_(seed),
          response_timeout_(settings.min_response_timeout)
    {}

    std::vector<reader_action> handle(reader_event const& event,
                                      core::instant now);

    std::optional<core::instant> next_timer() const { return timer_due_; }

    // Returns whether the responses so far do not bring the copy of this node
    // up to date, since a read of the whole state is not complete.
    bool is_reading_whole() const { return read_.has_value(); }

private:
    using actions = std::vector<reader_action>;

    void on(page_read const& it, core::instant now, actions& out);
    void on(watch_answered const& it, core::instant now, actions& out);
    void on(history_discarded const&, core::instant now, actions& out);
    void on(history_too_large const&, core::instant now, actions& out);
    void on(call_failed const& it, core::instant now, actions& out);
    void on(reader_timer_expired const&, core::instant now, actions& out);
    void on(revision_advanced const& it, core::instant now, actions& out);
    void on(reading_toggled const& it, core::instant now, actions& out);
    void record_response(actions& out);
    void start_call(actions& out);
    // Passes the state that has been read on, and ends the read.
    void apply_read(actions& out);
    // Adds the changes between the pages to the read.
    void complete_read(watch_answered const& it, actions& out);
    void discard_read();

    reader_settings settings_;
    core::random_source random_;
    bool enabled_ = true;
    bool call_in_flight_ = false;
    // True if the last call failed.
    bool store_lost_ = false;
    // Invariant: this is the clock's epoch unless store_lost_ is set.
    core::instant last_available_at_{};
    // The revision after which the next watch starts. Invariant: it is 0 until
    // the whole state has been read from the store or received from a peer, and
    // again after the history that the watch needs was discarded by the store
    // or was too large.
    core::revision watch_after_;
    // A read of the whole state that has begun.
    std::optional<whole_state_read> read_;
    // All pages of the read have arrived, and the next call is a watch that
    // returns what changed between them. Invariant: set only if read_ is.
    bool pages_complete_ = false;
    core::milliseconds backoff_{0};
    core::milliseconds response_timeout_;
    // True until a call succeeds after reading was turned on. The connection of
    // an earlier call has been idle for an unknown time then.
    bool connection_idle_ = true;
    // When the next call is due after a delay.
    std::optional<core::instant> timer_due_;
};

} // namespace yuccafall::replication

#endif
