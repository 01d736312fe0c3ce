// The patterns by name. Services, work and callers are those of the letters;
// sizes are those of today and of the grown deployments.
#include "bench/model/deployment.hpp"

namespace yuccafall::bench::model {

namespace {

using core::milliseconds;
using routing::repeatability;

routing::route make_route(char const* name, char const* service,
                          repeatability kind, long timeout_ms, long aim_ms,
                          std::uint32_t rank)
{
    routing::route it;
    it.name = core::route_name(name);
    it.kind = kind;
    it.timeout = milliseconds(timeout_ms);
    it.target_latency = milliseconds(aim_ms);
    it.rank = core::rank(rank);
    it.attempts = core::attempt_count(2);
    it.targets = {{core::service_name(service), core::weight(1)}};
    return it;
}

enum kovacic_request : std::size_t
{
    filter_lookup,
    visit_booking,
    report_upload,
    slot_check,
    unit_history,
};

std::vector<request_kind> kovacic_requests()
{
    std::vector<request_kind> out(5);
    auto& lookup = out[filter_lookup];
    lookup.route = make_route("filter-lookup", "catalogue",
                              repeatability::idempotent, 1'500, 400, 2);
    lookup.work_ms = 100;
    lookup.spread = 0.5;
    lookup.patience = milliseconds(2'500);
    lookup.answer_bytes = 5'000;
    lookup.part = 0.633;
    lookup.worth = 1;
    lookup.late_worth = 0.3;
    lookup.retries = 2;
    lookup.calls = {{slot_check, 2, 0.7}};

    auto& booking = out[visit_booking];
    booking.route = make_route("visit-booking", "dispatch",
                               repeatability::non_idempotent, 2'000, 500, 1);
    booking.work_ms = 140;
    booking.spread = 0.8;
    booking.patience = milliseconds(3'000);
    booking.body_bytes = 300;
    booking.answer_bytes = 5'000;
    booking.part = 0.278;
    booking.worth = 2;
    booking.late_worth = 0.6;
    booking.retries = 2;
    booking.calls = {{unit_history, 2, 0.7}};

    auto& upload = out[report_upload];
    upload.route = make_route("report-upload", "reports", repeatability::upload,
                              3'000, 500, 1);
    upload.work_ms = 120;
    upload.spread = 0.8;
    upload.patience = milliseconds(3'000);
    upload.body_bytes = 60'000;
    upload.answer_bytes = 1'500;
    upload.part = 0.089;
    upload.worth = 2;
    upload.late_worth = 0.6;
    upload.retries = 2;

    out[slot_check].route = make_route("slot-check", "dispatch",
                                       repeatability::idempotent, 400, 150, 2);
    out[unit_history].route = make_route(
        "unit-history", "reports", repeatability::idempotent, 400, 150, 2);
    for (auto const i : {slot_check, unit_history})
    {
        out[i].work_ms = 30;
        out[i].spread = 0.5;
        out[i].patience = milliseconds(400);
        out[i].answer_bytes = 500;
    }
    return out;
}

deployment kovacic()
{
    deployment it;
    it.data_centres = {core::data_centre("lj-a"), core::data_centre("lj-b"),
                       core::data_centre("lj-c")};
    it.services = {
        {core::service_name("catalogue"), {2, 2, 2}, {0.7, 0.7, 1.6}},
        {core::service_name("dispatch"), {2, 2, 1}, {0.6, 1, 1.4}},
        {core::service_name("reports"), {1, 1, 1}, {0.7, 0.7, 1.6}}};
    it.requests = kovacic_requests();
    it.per_second = 150;
    it.swing = 0.55;
    return it;
}

deployment kovacic_crest()
{
    auto it = kovacic();
    it.per_second = 317;
    return it;
}

deployment kovacic_burst()
{
    auto it = kovacic();
    it.per_second = 230;
    it.troubles = {{6, 10, 1.8, 0, 1}};
    return it;
}

deployment kovacic_slow_workers()
{
    auto it = kovacic();
    it.per_second = 230;
    it.troubles = {{5, 14, 1, 0.3, 6}};
    return it;
}

// Seventy-seven VMs with a link of 7.7 Mbit/s each.
deployment kovacic_narrow_links()
{
    auto it = kovacic();
    it.services = {
        {core::service_name("catalogue"), {11, 15, 13}, {0.7, 0.7, 1.6}},
        {core::service_name("dispatch"), {9, 11, 9}, {0.6, 1, 1.4}},
        {core::service_name("reports"), {3, 3, 3}, {0.7, 0.7, 1.6}}};
    it.per_second = 900;
    it.link = core::bytes_per_second(962'500);
    it.seconds = 12;
    return it;
}

} // namespace

std::vector<pattern> const& all_patterns()
{
    static std::vector<pattern> const all{
        {"calm", "fourteen workers at half of their slots", kovacic},
        {"crest", "demand swings over the slots", kovacic_crest},
        {"burst", "1.8 times the demand for four seconds", kovacic_burst},
        {"slow-workers", "three workers in ten take six times as long",
         kovacic_slow_workers},
        {"narrow-links", "77 workers behind links of 7.7 Mbit/s",
         kovacic_narrow_links},
    };
    return all;
}

} // namespace yuccafall::bench::model
