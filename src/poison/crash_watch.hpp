// Tells a crash of the worker from a lost answer.
//
// Runs that break off together, followed by a worker that takes no connection,
// were there when it crashed. A worker that still takes connections has lost
// or withheld an answer. A request like one that has ended well here lately is
// not blamed: many callers may ask for the same, and a worker may crash for
// reasons of its own.
#ifndef YUCCAFALL_POISON_CRASH_WATCH_HPP
#define YUCCAFALL_POISON_CRASH_WATCH_HPP

#include <map>
#include <vector>

#include "core/units.hpp"
#include "poison/suspect_list.hpp"

namespace yuccafall::poison {

class crash_watch
{
public:
    explicit crash_watch(core::incarnation node) : node_(node) {}

    // A run broke off without an answer. Returns true where the worker is to be
    // asked for a connection.
    bool run_lost(fingerprint const& request, core::instant now);

    // A run ended with a whole answer.
    void run_completed(fingerprint const& request, core::instant now);

    // The worker took a connection or not.
    void reached();
    std::vector<notice> unreachable(core::instant now);

    // Runs that broke off this long before are not part of the same crash.
    static constexpr core::milliseconds together{500};
    // For how long a completed run clears requests like it. As long as a
    // suspicion lasts.
    static constexpr core::milliseconds clears_for{60'000};
    // Bounds the memory: some 40 kB.
    static constexpr std::size_t most_completed = 512;

private:
    bool is_cleared(fingerprint const& request, core::instant now) const;

    struct lost_run
    {
        fingerprint request;
        core::instant when;
    };

    core::incarnation node_;
    std::uint64_t crashes_ = 0;
    std::vector<lost_run> lost_;
    std::map<fingerprint, core::instant> completed_;
    bool asking_ = false;
};

} // namespace yuccafall::poison

#endif
