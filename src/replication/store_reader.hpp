// Decides when this node calls the platform's store: reads the whole state
// once, then watches it.
#ifndef YUCCAFALL_REPLICATION_STORE_READER_HPP
#define YUCCAFALL_REPLICATION_STORE_READER_HPP

#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "core/random.hpp"
#include "core/units.hpp"
#include "replication/published_state.hpp"

namespace yuccafall::replication {

struct reader_settings
{
    // How long a watch may wait at the store. A watch that was cut without a
    // reset, or that has missed changes, is noticed at its end; this and the
    // time for an answer stay below the platform's three seconds of recovery.
    core::milliseconds watch_wait{1'000};
    // Pause after news, so that changes in quick succession are read together.
    core::milliseconds gather{150};
    // First and longest pause after a failed call; doubled in between.
    core::milliseconds first_pause{100};
    core::milliseconds longest_pause{800};
};

// Events.
struct page_read
{
    std::vector<item> items;
    core::revision as_of;
    // The store has more behind the last item.
    bool truncated = false;
};
struct watch_answered
{
    std::vector<item> items;
    core::revision as_of;
};
// The store no longer has the history that the watch asked for.
struct history_gone
{};
struct call_failed
{
    std::string reason;
};
// Due at next_wake().
struct wake
{};
// Peers have brought the copy to this revision.
struct advanced
{
    core::revision as_of;
};
// Whether this node is to read the store at all.
struct duty_changed
{
    bool reads = true;
};
using reader_event = std::variant<page_read, watch_answered, history_gone,
                                  call_failed, wake, advanced, duty_changed>;

// Actions. Each call to the store is answered by one of the events above.
struct read_page
{
    // Empty: from the start.
    std::string after_key;
};
struct watch
{
    core::revision after;
    core::milliseconds wait;
};
struct take_changes
{
    change_set changes;
};
struct report_lost
{
    std::string reason;
};
struct report_regained
{};
using reader_action =
    std::variant<read_page, watch, take_changes, report_lost, report_regained>;

class store_reader
{
public:
    store_reader(reader_settings settings, std::uint64_t seed)
        : settings_(settings), random_(seed)
    {}

    std::vector<reader_action> handle(reader_event const& event,
                                      core::instant now);

    std::optional<core::instant> next_wake() const { return wake_at_; }

private:
    using actions = std::vector<reader_action>;

    void on(page_read const& it, core::instant now, actions& out);
    void on(watch_answered const& it, core::instant now, actions& out);
    void on(history_gone const&, core::instant now, actions& out);
    void on(call_failed const& it, core::instant now, actions& out);
    void on(wake const&, core::instant now, actions& out);
    void on(advanced const& it, core::instant now, actions& out);
    void on(duty_changed const& it, core::instant now, actions& out);
    void succeeded(actions& out);
    void call(actions& out);

    reader_settings settings_;
    core::random_source random_;
    bool reads_ = true;
    bool calling_ = false;
    bool lost_ = false;
    // Invariant: 0 until the whole state has been read or received.
    core::revision after_;
    // The pages of a read that is not complete.
    std::vector<item> pages_;
    std::optional<core::revision> first_page_;
    core::milliseconds pause_{0};
    std::optional<core::instant> wake_at_;
};

} // namespace yuccafall::replication

#endif
