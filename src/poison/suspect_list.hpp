// Identifies poison requests: requests that crash the workers that run them.
//
// A request that was running in a worker when the worker crashed is a suspect.
// A request that was running at two crashes is assumed to have caused them: it
// is poisoned, and all nodes refuse it for a while. Each notice of a crash is
// flooded once through all nodes; the resulting list does not depend on the
// order in which the notices arrive.
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

// A hash of a request's method, target and body.
using fingerprint = core::strong<struct fingerprint_tag, std::uint64_t>;

fingerprint fingerprint_of(std::string_view method, std::string_view target,
                           std::string_view body);

// Identifies one crash of one worker. The node beside the worker counts the
// crashes.
struct crash_id
{
    core::incarnation node;
    std::uint64_t number = 0;

    friend bool operator<(crash_id const& a, crash_id const& b)
    {
        return std::tie(a.node, a.number) < std::tie(b.node, b.number);
    }
};

// Reports that a request was running in a worker when it crashed.
struct crash_notice
{
    fingerprint request;
    crash_id crash;
};

class suspect_list
{
public:
    // Adds a notice. Returns true if the list did not contain it, in which case
    // it must be forwarded to the other nodes.
    bool merge(crash_notice const& it, core::instant now);

    // Returns the requests that must be refused.
    std::set<fingerprint> poisoned(core::instant now) const;

    // Returns all notices that have not expired, for a peer that was not
    // connected when they were forwarded.
    std::vector<crash_notice> notices(core::instant now) const;

    // Returns when the next suspect expires, which may change the result of
    // poisoned(), or nothing if there is no suspect.
    std::optional<core::instant> next_timer(core::instant now) const;

    // A suspect that was running at this many crashes is poisoned.
    static constexpr std::size_t poison_threshold = 2;
    // How long a request stays a suspect after the last crash that was reported
    // for it. Callers stop retrying a request long before that, so a poisoned
    // request is refused for as long as they retry it.
    static constexpr std::chrono::seconds suspect_ttl{60};
    // The maximum number of suspects. A full list evicts the one that expires
    // first.
    static constexpr std::size_t capacity = 4'096;

private:
    struct suspect
    {
        std::set<crash_id> crashes;
        core::instant expires_at{};
    };

    // Removes expired suspects and, if the list is still full, evicts one.
    void expire_and_evict(core::instant now);

    std::map<fingerprint, suspect> suspects_;
};

} // namespace yuccafall::poison

#endif
