// Service discovery: tracks the workers that have an entry in the platform's
// store and selects those that may get new requests.
//
// The entries of workers expire during an outage of the store, and live workers
// publish them again soon after the store recovers. A worker whose entry is
// removed without a preceding change to draining therefore stays eligible for a
// grace period, which is longer after an outage in which entries may have
// expired.
#ifndef YUCCAFALL_MEMBERSHIP_WORKER_DIRECTORY_HPP
#define YUCCAFALL_MEMBERSHIP_WORKER_DIRECTORY_HPP

#include <map>
#include <optional>
#include <set>
#include <variant>
#include <vector>

#include "core/units.hpp"
#include "membership/worker_entry.hpp"

namespace yuccafall::membership {

struct directory_settings
{
    // How long a worker stays eligible after its entry was removed while the
    // store was available. This covers entries that expired in an outage which
    // this node did not notice. The delay is well below the platform's limit
    // on the time in which a worker that has left may still get new requests.
    core::milliseconds removal_delay{600};
    // The time after the store recovers within which all live workers have
    // published their entries again.
    core::milliseconds republish_delay{2'300};
    // Interval at which workers write their entries.
    core::milliseconds worker_heartbeat{1'500};
};

// The store holds a new or changed entry of a worker.
struct entry_written
{
    worker_entry entry;
    core::revision revision;
};
// The stored value cannot be decoded. The event neither adds nor removes a
// worker; an earlier entry under the same id stays in use.
struct entry_unreadable
{
    core::upstream_id id;
};
// The store no longer holds the entry.
struct entry_removed
{
    core::upstream_id id;
};
// The store is available again after an outage.
struct store_regained
{
    // The longest time for which the store may have been unavailable.
    core::milliseconds unavailable_for;
};
// The configuration in force names these services. An entry of another service
// is kept, but it names no worker to use until its service is named. Before the
// first event of this kind all services count as named.
struct services_named
{
    std::set<core::service_name> services;
};
// The time that worker_directory::next_timer() returned has been reached.
struct timer_expired
{};
using directory_event =
    std::variant<entry_written, entry_unreadable, entry_removed, store_regained,
                 services_named, timer_expired>;

class worker_directory
{
public:
    explicit worker_directory(directory_settings settings = {})
        : settings_(settings)
    {}

    // Returns true if the result of eligible_workers() has changed.
    bool handle(directory_event const& event, core::instant now);

    // Returns the workers that may get new requests, ordered by id. If several
    // entries of named services have the same address, only the newest one is
    // used: the workers of the older entries have ended.
    std::vector<worker_entry> eligible_workers() const;

    // Returns all workers of named services that have an entry or whose entry
    // was removed only recently, including those that drain.
    std::map<core::upstream_id, worker_entry> known_workers() const;

    // Returns when handle() needs the next timer_expired event, or nothing if
    // no timer is pending.
    std::optional<core::instant> next_timer() const;

private:
    struct record
    {
        worker_entry entry;
        // The store revision at which the entry was written.
        core::revision revision;
        // Set when the entry is removed from the store; the record is deleted
        // at this time.
        std::optional<core::instant> expires_at;
    };

    bool on(entry_written const& it, core::instant now);
    bool on(entry_unreadable const&, core::instant) { return false; }
    bool on(entry_removed const& it, core::instant now);
    bool on(store_regained const& it, core::instant now);
    // Returns whether an outage of this length can end with expired entries of
    // live workers.
    bool may_expire_entries(core::milliseconds outage) const;
    bool on(services_named const& it, core::instant);
    bool on(timer_expired const&, core::instant now);
    bool is_named(core::service_name const& service) const;

    directory_settings settings_;
    std::map<core::upstream_id, record> records_;
    std::optional<std::set<core::service_name>> named_services_;
    // When the store last recovered from an outage in which entries may have
    // expired.
    std::optional<core::instant> store_regained_at_;
};

} // namespace yuccafall::membership

#endif
