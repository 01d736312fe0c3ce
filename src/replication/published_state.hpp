// A copy of what the platform's store publishes, as of one of its revisions.
//
// The store's single revision counter orders all changes, so two copies are
// brought together by taking the newer item of each key. Values are opaque
// here. Large ones pass between nodes compressed, or as a patch of the value
// that the other node holds.
#ifndef YUCCAFALL_REPLICATION_PUBLISHED_STATE_HPP
#define YUCCAFALL_REPLICATION_PUBLISHED_STATE_HPP

#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "core/ids.hpp"

namespace yuccafall::replication {

struct item
{
    std::string key;
    // Empty where the item was deleted.
    std::string value;
    core::revision revision;
    bool deleted = false;
};

// A large value as it passes between nodes.
struct compressed_item
{
    std::string key;
    core::revision revision;
    // The revision of the same key that the frame is a patch of; 0 where the
    // frame holds the whole value.
    core::revision patch_of;
    std::string frame;
};

// All changes after `base` up to `as_of`; base 0 is the whole state.
struct change_set
{
    core::revision base;
    core::revision as_of;
    std::vector<item> items;
    // Several of one key are in the order of their revisions.
    std::vector<compressed_item> compressed;
};

struct merge_result
{
    // Items that differ from what was held, the newest of each key.
    std::vector<item> news;
    // False where the set has a gap before it, or a patch of a value that this
    // copy does not hold. What could be merged was, and as_of() is as before.
    bool complete = true;
};

class published_state
{
public:
    core::revision as_of() const { return as_of_; }
    bool empty() const { return as_of_.value() == 0; }

    merge_result apply(change_set const& changes);

    // What a copy as of `base` lacks; the whole state where deletions since
    // then are no longer known.
    change_set since(core::revision base);

private:
    struct held
    {
        std::string value;
        core::revision revision;
        bool deleted = false;
        // The value compressed by itself; made when it is first asked for.
        std::string frame;
        // Invariant: each is a patch of the value before it, and the last one
        // leads to `value`.
        std::vector<compressed_item> patches;
    };

    void merge(item const& it, std::vector<item>& news);
    // False where this copy lacks the value that is patched.
    bool merge(compressed_item const& it, std::vector<item>& news);
    void replace(held& mine, item const& by, std::vector<item>& news);
    static void keep_patch(held& mine, compressed_item patch);
    static void append_large(change_set& to, std::string const& key,
                             held& mine);
    void delete_unnamed(std::set<std::string_view> const& named,
                        core::revision as_of, std::vector<item>& news);
    void forget_deletions();

    // Values from this size are compressed between nodes. Shorter ones, such
    // as entries of workers, gain little.
    static constexpr std::size_t large_value = 4UL * 1024;
    // Patches of one key that are kept for nodes that are behind. A storm of
    // changes has one in 80 ms at most, and a node that is seconds behind gets
    // the whole value.
    static constexpr std::size_t most_patches = 64;

    // Deleted items stay until forgotten, so that an older copy of them is not
    // taken for news.
    static constexpr std::size_t most_deletions = 1'024;

    core::revision as_of_;
    std::map<std::string, held> items_;
    std::size_t deletions_ = 0;
    // Deletions up to here may have been forgotten.
    core::revision forgotten_;
};

} // namespace yuccafall::replication

#endif
