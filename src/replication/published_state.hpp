// A copy of the content of the platform's store as of one store revision. The
// store is a key-value store; a key with its value is called an item.
//
// The store has a single revision counter that orders all changes, so two
// copies are merged by taking the newer item of each key. Values are opaque to
// this class. Nodes send large values to each other either compressed or as a
// patch against the value that the other node holds.
#ifndef YUCCAFALL_REPLICATION_PUBLISHED_STATE_HPP
#define YUCCAFALL_REPLICATION_PUBLISHED_STATE_HPP

#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "core/ids.hpp"

namespace yuccafall::replication {

struct store_item
{
    std::string key;
    // Empty if the item was deleted.
    std::string value;
    // The revision at which the item was written or deleted.
    core::revision revision;
    bool deleted = false;
};

// A large value in the form in which nodes send it to each other.
struct compressed_item
{
    std::string key;
    core::revision revision;
    // The revision of the value that the frame is a patch against. It is 0 if
    // the frame contains the whole value.
    core::revision patch_of;
    // The Zstandard frame that compress() returned.
    std::string frame;
};

// All changes after revision `base` up to and including revision `as_of`. A set
// whose base is 0 contains the whole state. An item that was written after
// `base` and that the set does not list was deleted by `as_of`.
struct change_set
{
    core::revision base;
    core::revision as_of;
    std::vector<store_item> items;
    // Items with the same key are in ascending order of their revisions.
    std::vector<compressed_item> compressed;
    // False if the set may lack deletions of items that were also written after
    // `base`. A whole state lists no deletions, whatever the value.
    bool lists_all_deletions = true;
};

struct merge_result
{
    // Items that the merge has changed in this copy. If the merge has changed a
    // key several times, only the newest item is listed.
    std::vector<store_item> updates;
    // False if changes between this copy and the change set are missing, or if
    // a compressed item could not be merged, for example because it is a patch
    // against a value that this copy does not hold. In the second case all
    // other items are merged. In both cases as_of() is unchanged.
    bool complete = true;
};

class published_state
{
public:
    // Returns the revision up to which this copy contains all changes. It is 0
    // before the first whole state has been applied.
    core::revision as_of() const { return as_of_; }
    bool empty() const { return as_of_.value() == 0; }

    // Returns the item with the key, or nothing if there is none or it was
    // deleted.
    std::optional<store_item> find(std::string const& key) const;

    merge_result apply(change_set const& changes);

    // Returns the changes that a copy as of `base` is missing. Returns the
    // whole state if the copy as of `base` may hold an item whose deletion this
    // copy has no tombstone for.
    change_set since(core::revision base);

private:
    struct key_state
    {
        std::string value;
        core::revision revision;
        bool deleted = false;
        // The value compressed without a reference. It is empty until another
        // node has sent it or until it is first needed.
        std::string frame;
        // Invariant: each patch applies to the value that the patch before it
        // produces, and the last patch produces `value`.
        std::vector<compressed_item> patches;
    };

    // Returns whether this copy holds the item or a newer one, or whether the
    // item was deleted by as_of().
    bool is_superseded(std::string const& key, core::revision revision) const;
    // Returns whether a copy as of `base` may hold an item that was deleted and
    // has no tombstone here.
    bool lacks_tombstones_for(core::revision base) const;
    void record_missing_tombstones(core::revision as_of);
    void merge(store_item const& it, std::vector<store_item>& updates);
    // Returns false if the item could not be decompressed, or if it is a patch
    // against a value that this copy does not hold.
    bool merge(compressed_item const& it, std::vector<store_item>& updates);
    void replace(key_state& local, store_item const& newer,
                 std::vector<store_item>& updates);
    static void add_patch(key_state& local, compressed_item patch);
    static void append_compressed(change_set& to, std::string const& key,
                                  key_state& local);
    void delete_missing(std::set<std::string_view> const& listed_keys,
                        change_set const& changes,
                        std::vector<store_item>& updates);
    void purge_tombstones();

    // Values of at least this many bytes are compressed when they are sent to
    // other nodes. Compression saves little on shorter values, such as the
    // entries of workers.
    static constexpr std::size_t min_compressed_size = 4UL * 1024;
    // Maximum number of patches of one key that are kept for nodes whose copy
    // is older. A burst of changes has at most one change in 80 ms, so the
    // patches cover a few seconds. A node that is further behind gets the whole
    // value.
    static constexpr std::size_t max_patches_per_key = 64;

    // Maximum number of tombstones. If there are more, all are purged. A
    // deleted item stays as a tombstone until then, so that changes which are
    // sent to other copies include the deletion.
    static constexpr std::size_t max_tombstones = 1'024;

    // Invariant: for each key, items_ holds the item that the store held as of
    // this revision, or a newer one. A key that items_ lacks had no item.
    core::revision as_of_;
    // The items by key, including tombstones.
    std::map<std::string, key_state> items_;
    // Number of tombstones in items_.
    std::size_t tombstones_ = 0;
    // Tombstones up to and including this revision may be missing.
    core::revision purged_up_to_;
    // The revisions of this copy before and after it last merged one or more
    // sets in a row that may lack deletions. Items that a copy as of a revision
    // between them holds may have no tombstone here. Invariant: purged_up_to_
    // covers all earlier spans of this kind.
    struct revision_span
    {
        core::revision before;
        core::revision after;
    };
    revision_span incomplete_span_;
};

} // namespace yuccafall::replication

#endif
