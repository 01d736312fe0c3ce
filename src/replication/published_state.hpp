// A copy of what the platform's store publishes, as of one of its revisions.
//
// The store's single revision counter orders all changes, so two copies are
// brought together by taking the newer item of each key. Values are opaque
// here.
#ifndef YUCCAFALL_REPLICATION_PUBLISHED_STATE_HPP
#define YUCCAFALL_REPLICATION_PUBLISHED_STATE_HPP

#include <map>
#include <optional>
#include <string>
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

// All changes after `base` up to `as_of`; base 0 is the whole state.
struct change_set
{
    core::revision base;
    core::revision as_of;
    std::vector<item> items;
};

class published_state
{
public:
    core::revision as_of() const { return as_of_; }
    bool empty() const { return as_of_.value() == 0; }

    // Returns the items that differ from what was held. A set whose base lies
    // ahead of this copy has a gap and is not applied.
    std::optional<std::vector<item>> apply(change_set const& changes);

    // What a copy as of `base` lacks; the whole state where deletions since
    // then are no longer known.
    change_set since(core::revision base) const;

private:
    struct held
    {
        std::string value;
        core::revision revision;
        bool deleted = false;
    };

    void forget_deletions();

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
