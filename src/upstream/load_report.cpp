// Reads the load of the local worker from the slot queue.
#include "upstream/load_report.hpp"

#include <algorithm>
#include <chrono>

namespace yuccafall::upstream {

balancing::load_report make_load_report(admission::slot_queue const& queue,
                                        core::duration link_backlog,
                                        core::percentage rejection_share,
                                        core::instant now)
{
    balancing::load_report report;
    report.running =
        core::slot_count(static_cast<std::uint32_t>(queue.running()));
    report.waiting =
        core::queue_length(static_cast<std::uint32_t>(queue.waiting()));
    report.slots = queue.slots();
    report.wait_for_nested = queue.wait_for_nested(now);
    report.wait_at_back = queue.wait_at_back(now);
    report.wait_for_bodies =
        std::max(queue.wait_for_bodies(),
                 std::chrono::duration_cast<core::milliseconds>(
                     link_backlog + queue.expected_response_time()));
    report.body_rate = queue.body_rate();
    report.relative_service_time = queue.relative_service_time();
    report.rejection_share = rejection_share;
    report.rate = queue.stated_rate();
    report.cold_rate = queue.cold_rate();
    report.waits_by_rank = queue.waits_by_rank(now);
    return report;
}

} // namespace yuccafall::upstream
