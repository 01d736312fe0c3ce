// Requests that ran in a worker when it crashed.
//
// A request that was there at two crashes is taken to have caused them, and is
// refused everywhere for a while. Nodes tell each other of each crash once; the
// list is the same whatever the order in which notices arrive.
#ifndef YUCCAFALL_POISON_SUSPECT_LIST_HPP
#define YUCCAFALL_POISON_SUSPECT_LIST_HPP

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string_view>
#include <vector>

#include "core/ids.hpp"
#include "core/units.hpp"

namespace yuccafall::poison {

// Of method, target and body.
using fingerprint = core::strong<struct fingerprint_tag, std::uint64_t>;

fingerprint fingerprint_of(std::string_view method, std::string_view target,
                           std::string_view body);

// One crash of one worker, numbered by the node beside it.
struct crash_id
{
    core::incarnation node;
    std::uint64_t number = 0;

    friend bool operator<(crash_id const& a, crash_id const& b)
    {
        return std::tie(a.node, a.number) < std::tie(b.node, b.number);
    }
};

struct notice
{
    fingerprint request;
    crash_id crash;
};

class suspect_list
{
public:
    // Returns true where the notice is new and is to be passed on.
    bool merge(notice const& it, core::instant now);

    std::set<fingerprint> poisoned(core::instant now) const;

    // All that is known, for a node that was not connected when it was told.
    std::vector<notice> notices(core::instant now) const;

    // When poisoned() changes by itself, if ever.
    std::optional<core::instant> next_wake(core::instant now) const;

    // Crashes that make a suspect poisoned.
    static constexpr std::size_t crashes_of_poison = 2;
    // After its last crash a request is forgotten; callers give up long before.
    static constexpr std::chrono::seconds remembered{60};
    // A full list forgets the oldest.
    static constexpr std::size_t capacity = 4'096;

private:
    struct entry
    {
        std::set<crash_id> crashes;
        core::instant until{};
    };

    void forget_old(core::instant now);

    std::map<fingerprint, entry> entries_;
};

} // namespace yuccafall::poison

#endif
