// Probes the local worker after a request to it was interrupted, and reports
// the requests that were running when it crashed.
#ifndef YUCCAFALL_UPSTREAM_CRASH_MONITOR_HPP
#define YUCCAFALL_UPSTREAM_CRASH_MONITOR_HPP

#include <functional>
#include <memory>
#include <set>

#include "core/ids.hpp"
#include "core/units.hpp"
#include "poison/crash_detector.hpp"
#include "poison/suspect_list.hpp"

namespace yuccafall::upstream {

// Not thread-safe: each object is used on the traffic thread only.
class crash_monitor : public std::enable_shared_from_this<crash_monitor>
{
public:
    using notice_handler = std::function<void(poison::notice const&)>;
    // Opens a connection to the worker, and later calls the handler with
    // whether the worker has accepted it.
    using probe_function = std::function<void(std::function<void(bool)>)>;
    using unreachable_handler = std::function<void(core::instant)>;

    // The first handler is called for each request that was running in the
    // worker when the worker crashed, and for each suspect that has completed.
    // The second one is called before it when the worker has refused the
    // connection of a probe.
    crash_monitor(core::incarnation node, probe_function probe,
                  notice_handler on_notice, unreachable_handler on_unreachable);

    // Sets the requests that were running when a worker of any node crashed.
    void set_suspects(std::set<poison::fingerprint> suspects,
                      core::instant now);
    // Records a request that the worker answered.
    void record_answered(poison::fingerprint const& request, core::instant now);
    // Records a request whose connection closed without a response.
    void record_interrupted(poison::fingerprint const& request,
                            core::instant now);

private:
    void on_probe_ended(bool reached);

    poison::crash_detector detector_;
    probe_function probe_;
    notice_handler on_notice_;
    unreachable_handler on_unreachable_;
};

} // namespace yuccafall::upstream

#endif
