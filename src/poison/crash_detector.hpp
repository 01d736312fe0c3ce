// Detects crashes of the worker beside this node and names the requests that
// were running at the time.
//
// A connection that closes without a response may mean that the worker crashed
// or that it only lost or withheld the response. The node therefore probes the
// worker by opening another connection: if the worker refuses it, the worker
// has crashed, and the requests that were interrupted at about the same time
// are reported as suspects. A request with the same fingerprint as one that
// completed here recently is not reported: many callers may send the same
// request, and a worker may crash for a reason that has nothing to do with it.
#ifndef YUCCAFALL_POISON_CRASH_DETECTOR_HPP
#define YUCCAFALL_POISON_CRASH_DETECTOR_HPP

#include <map>
#include <optional>
#include <set>
#include <vector>

#include "core/units.hpp"
#include "poison/suspect_list.hpp"

namespace yuccafall::poison {

class crash_detector
{
public:
    explicit crash_detector(core::incarnation node) : node_(node) {}

    // Records a request whose connection closed without a response. Returns
    // true if the calling code must now probe the worker by opening a
    // connection to it; returns false while an earlier probe is pending.
    bool request_interrupted(fingerprint const& request, core::instant now);

    // Records a request that the worker answered with a complete response.
    // Returns a notice if the request is a suspect.
    std::optional<completion_notice>
    request_completed(fingerprint const& request, core::instant now);

    // Replaces the suspects of all nodes. Returns a notice for each suspect
    // that is new and has completed here recently.
    std::vector<completion_notice> set_suspects(std::set<fingerprint> suspects,
                                                core::instant now);

    // Ends the probe: the worker accepted the connection and has not crashed.
    void probe_succeeded();

    // Ends the probe: the worker refused the connection and has crashed.
    // Returns one notice for each suspect, all with the same crash id.
    std::vector<crash_notice> probe_failed(core::instant now);

    // Requests that were interrupted more than this before the latest one are
    // not attributed to the same crash.
    static constexpr core::milliseconds crash_window{500};
    // How long a completed request exempts requests with the same fingerprint
    // from suspicion. The same as suspect_list::suspect_ttl.
    static constexpr core::milliseconds completed_request_ttl{60'000};
    // Limits the memory of completed_requests_ to about 40 kB.
    static constexpr std::size_t max_completed_requests = 512;

private:
    // Returns true if a request with this fingerprint completed recently.
    bool completed_recently(fingerprint const& request,
                            core::instant now) const;

    struct interrupted_request
    {
        fingerprint request;
        core::instant interrupted_at;
    };

    core::incarnation node_;
    // Number of crashes that this node has detected.
    std::uint64_t crash_count_ = 0;
    // Requests that become suspects if the worker is found to have crashed.
    std::vector<interrupted_request> interrupted_;
    std::set<fingerprint> suspects_;
    // For each fingerprint, when a request with it last completed.
    std::map<fingerprint, core::instant> completed_requests_;
    bool probe_pending_ = false;
};

} // namespace yuccafall::poison

#endif
