// Passes interrupted requests and the results of probes to the crash detector.
#include "upstream/crash_monitor.hpp"

#include <utility>

#include "core/log.hpp"

namespace yuccafall::upstream {

crash_monitor::crash_monitor(core::incarnation node, probe_function probe,
                             notice_handler on_notice,
                             unreachable_handler on_unreachable)
    : detector_(node), probe_(std::move(probe)),
      on_notice_(std::move(on_notice)),
      on_unreachable_(std::move(on_unreachable))
{}

void crash_monitor::set_suspects(std::set<poison::fingerprint> suspects,
                                 core::instant now)
{
    auto const notices = detector_.set_suspects(std::move(suspects), now);
    for (auto const& it : notices)
    {
        on_notice_(it);
    }
}

void crash_monitor::record_answered(poison::fingerprint const& request,
                                    core::instant now)
{
    if (auto const notice = detector_.request_completed(request, now))
    {
        on_notice_(*notice);
    }
}

void crash_monitor::record_interrupted(poison::fingerprint const& request,
                                       core::instant now)
{
    if (!detector_.request_interrupted(request, now))
    {
        return;
    }
    probe_([weak = weak_from_this()](bool reached) {
        if (auto const self = weak.lock())
        {
            self->on_probe_ended(reached);
        }
    });
}

void crash_monitor::on_probe_ended(bool reached)
{
    if (reached)
    {
        detector_.probe_succeeded();
        return;
    }
    auto const now = core::boot_clock::now();
    on_unreachable_(now);
    for (auto const& it : detector_.probe_failed(now))
    {
        core::log_event(
            core::log_level::warning, "worker_crashed",
            {{"suspect", it.request.value()}, {"crash", it.crash.number}});
        on_notice_(it);
    }
}

} // namespace yuccafall::upstream
