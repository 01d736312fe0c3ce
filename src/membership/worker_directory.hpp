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
    // How long a removed entry counts where the store has been well: covers
    // entries that lapsed in an outage which this node did not notice. Well
    // below the platform's bound on new work to a worker that has left.
    core::milliseconds removal_delay{600};
    // From the store's return until workers that live have written their
    // entries again.
    core::milliseconds rewritten_after{2'300};
};

// Events.
struct entry_written
{
    worker_entry entry;
    core::revision revision;
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
struct store_regained
{};
struct time_passed
{};
using directory_event =
    std::variant<entry_written, entry_unreadable, entry_removed, store_regained,
                 time_passed>;

class worker_directory
{
public:
    explicit worker_directory(directory_settings settings = {})
        : settings_(settings)
    {}

    // Returns true where workers() has changed.
    bool handle(directory_event const& event, core::instant now);

    // Those that may get work, ordered by id. Of several entries with one
    // address only the newest counts: the worker of an older one has ended.
    std::vector<worker_entry> workers() const;

    // All that have an entry or had one until lately, draining ones included.
    std::map<core::upstream_id, worker_entry> known() const;

    // When time_passed is due, if ever.
    std::optional<core::instant> next_wake() const;

private:
    struct record
    {
        worker_entry entry;
        core::revision revision;
        // Set once the entry has been removed.
        std::optional<core::instant> forget_at;
    };

    bool on(entry_written const& it, core::instant now);
    bool on(entry_unreadable const&, core::instant) { return false; }
    bool on(entry_removed const& it, core::instant now);
    bool on(store_regained const&, core::instant now);
    bool on(time_passed const&, core::instant now);

    directory_settings settings_;
    std::map<core::upstream_id, record> records_;
    std::optional<core::instant> store_back_;
};

} // namespace yuccafall::membership

#endif
