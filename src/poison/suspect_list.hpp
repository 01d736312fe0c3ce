// Identifies poison requests: requests that crash the workers that run them.
//
// A request that was running in a worker when the worker crashed is a suspect.
// A request that was running at two crashes is assumed to have caused them: it
// is poisoned, and all nodes refuse it for a while. A request that crashes
// workers never completes, so a suspect that completes at any worker is
// cleared. Each notice is flooded once through all nodes; the resulting list
// does not depend on the order in which the notices arrive.
#ifndef YUCCAFALL_POISON_SUSPECT_LIST_HPP
#define YUCCAFALL_POISON_SUSPECT_LIST_HPP

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string_view>
#include <variant>
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

// Reports that a worker has sent a whole response to a suspect.
struct completion_notice
{
    fingerprint request;
    // How long the request stays cleared. A node that forwards the notice later
    // states what is left, so that forwarding does not prolong it.
    core::milliseconds remaining{0};
};

using notice = std::variant<crash_notice, completion_notice>;

class suspect_list
{
public:
    // Adds a notice. Returns true if it has changed the list, in which case it
    // must be forwarded to the other nodes.
    bool merge(notice const& it, core::instant now);

    // Returns the requests that must be refused.
    std::set<fingerprint> poisoned(core::instant now) const;
    // Returns the requests that were running at a crash, poisoned or not.
    std::set<fingerprint> suspects(core::instant now) const;

    // Returns all notices that have not expired, for a peer that was not
    // connected when they were forwarded.
    std::vector<notice> notices(core::instant now) const;

    // Returns when the next suspect expires, which may change the result of
    // poisoned(), or nothing if there is no suspect.
    std::optional<core::instant> next_timer(core::instant now) const;

    // A suspect that was running at this many crashes is poisoned.
    static constexpr std::size_t poison_threshold = 2;
    // How long a request stays a suspect after the last crash that was reported
    // for it. Callers stop retrying a request long before that, so a poisoned
    // request is refused for as long as they retry it.
    static constexpr std::chrono::seconds suspect_ttl{60};
    // How long a request stays cleared after it has completed.
    static constexpr std::chrono::seconds cleared_ttl{60};
    // The maximum number of suspects, and of cleared requests. A full list
    // evicts the one that expires first.
    static constexpr std::size_t capacity = 4'096;

private:
    struct suspect
    {
        std::set<crash_id> crashes;
        core::instant expires_at{};
    };

    bool merge_notice(crash_notice const& it, core::instant now);
    bool merge_notice(completion_notice const& it, core::instant now);
    bool is_cleared(fingerprint const& request, core::instant now) const;

    // Invariant: no request is in both maps, unless its time in cleared_ has
    // passed.
    std::map<fingerprint, suspect> suspects_;
    // For each cleared request, when it can become a suspect again.
    std::map<fingerprint, core::instant> cleared_;
};

} // namespace yuccafall::poison

#endif
