// Which workers may get work, from the platform's entries.
//
// Entries are lost while the platform's store is away, and are written again
// soon after its return. An entry that goes without a word of leaving is
// therefore believed for a while.
#ifndef YUCCAFALL_MEMBERSHIP_WORKER_DIRECTORY_HPP
#define YUCCAFALL_MEMBERSHIP_WORKER_DIRECTORY_HPP

#include <map>
#include <optional>
#include <variant>
#include <vector>

#include "core/units.hpp"
#include "membership/worker_entry.hpp"

namespace yuccafall::membership {

struct directory_settings
{
    // How long a removed entry counts where the store has been well. Below
    // the platform's bound on new work to a worker that has left.
    core::milliseconds removal_delay{1'000};
    // The same within store_recovery of the store's return: workers that live
    // are back by then.
    core::milliseconds removal_delay_after_outage{2'300};
    core::milliseconds store_recovery{3'000};
};

// Events.
struct entry_written
{
    worker_entry entry;
};
// The value is no entry of a worker: it names none and removes none.
struct entry_unreadable
{
    core::upstream_id id;
};
struct entry_removed
{
    core::upstream_id id;
};
struct store_lost
{};
struct store_regained
{};
struct time_passed
{};
using directory_event =
    std::variant<entry_written, entry_unreadable, entry_removed, store_lost,
                 store_regained, time_passed>;

class worker_directory
{
public:
    explicit worker_directory(directory_settings settings = {})
        : settings_(settings)
    {}

    // Returns true where workers() has changed.
    bool handle(directory_event const& event, core::instant now);

    // Those that may get work, ordered by id.
    std::vector<worker_entry> workers() const;

    // All that have an entry or had one until lately, draining ones included.
    std::map<core::upstream_id, worker_entry> known() const;

    // When time_passed is due, if ever.
    std::optional<core::instant> next_wake() const;

private:
    struct record
    {
        worker_entry entry;
        // Set once the entry has been removed.
        std::optional<core::instant> forget_at;
    };

    bool on(entry_written const& it, core::instant now);
    bool on(entry_unreadable const&, core::instant) { return false; }
    bool on(entry_removed const& it, core::instant now);
    bool on(store_lost const&, core::instant now);
    bool on(store_regained const&, core::instant now);
    bool on(time_passed const&, core::instant now);
    bool is_recovering(core::instant now) const;

    directory_settings settings_;
    std::map<core::upstream_id, record> records_;
    bool store_away_ = false;
    std::optional<core::instant> store_back_;
};

} // namespace yuccafall::membership

#endif
