// A read of the whole state in pages.
//
// The store returns each page as of its own revision, so that an item may be
// written or deleted between two pages. The pages then belong to no revision of
// the store. The changes after the oldest page make them exact.
#ifndef YUCCAFALL_REPLICATION_WHOLE_STATE_READ_HPP
#define YUCCAFALL_REPLICATION_WHOLE_STATE_READ_HPP

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "replication/published_state.hpp"

namespace yuccafall::replication {

class whole_state_read
{
public:
    // Returns the key after which the next page starts. It is empty for the
    // first page.
    std::string last_key() const;

    // Adds the next page, which the store returned at the revision.
    void add_page(std::vector<store_item> const& items, core::revision as_of);

    // Returns the revision up to which the state contains all changes. It is
    // that of the oldest page at first, since the store may return a page from
    // an older copy. Precondition: a page has been added.
    core::revision complete_to() const { return *complete_to_; }

    // Returns whether the state is that of one revision of the store.
    bool is_exact() const { return complete_to() >= newest_; }

    // Adds the changes after complete_to() up to the revision, in the order of
    // their revisions.
    void add_changes(std::vector<store_item> const& items,
                     core::revision as_of);

    // Returns the whole state as of complete_to().
    change_set to_change_set() const;

private:
    void add(store_item const& it);

    // By key, with the items that a change has deleted.
    std::map<std::string, store_item> items_;
    std::string last_key_;
    std::optional<core::revision> complete_to_;
    // The revision of the newest page.
    core::revision newest_;
};

} // namespace yuccafall::replication

#endif
