// Defines the patterns. The services, the request kinds and the callers are
// those that a customer described. The numbers of workers are those of the
// customer's present deployment and of one that has grown.
#include "bench/model/deployment.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace yuccafall::bench::model {

namespace {

using core::milliseconds;
using routing::repeatability;

routing::route make_route(char const* name, char const* service,
                          repeatability kind, long timeout_ms,
                          long target_latency_ms, std::uint32_t rank)
{
    routing::route it;
    it.name = core::route_name(name);
    it.kind = kind;
    it.timeout = milliseconds(timeout_ms);
    it.target_latency = milliseconds(target_latency_ms);
    it.rank = core::rank(rank);
    it.attempts = core::attempt_count(2);
    it.targets = {{core::service_name(service), core::weight(1)}};
    return it;
}

// Indexes into deployment::request_kinds.
enum request_index : std::size_t
{
    filter_lookup,
    visit_booking,
    report_upload,
    slot_check,
    unit_history,
};

std::vector<request_kind> make_request_kinds()
{
    std::vector<request_kind> out(5);
    auto& lookup = out[filter_lookup];
    lookup.route = make_route("filter-lookup", "catalogue",
                              repeatability::idempotent, 1'500, 400, 2);
    lookup.mean_service_time_ms = 100;
    lookup.service_time_sigma = 0.5;
    lookup.caller_timeout = milliseconds(2'500);
    lookup.response_bytes = 5'000;
    lookup.share = 0.633;
    lookup.worth = 1;
    lookup.late_worth = 0.3;
    lookup.max_retries = 2;
    lookup.calls = {{slot_check, 2, 0.7}};

    auto& booking = out[visit_booking];
    booking.route = make_route("visit-booking", "dispatch",
                               repeatability::non_idempotent, 2'000, 500, 1);
    booking.mean_service_time_ms = 140;
    booking.service_time_sigma = 0.8;
    booking.caller_timeout = milliseconds(3'000);
    booking.mean_body_bytes = 300;
    booking.response_bytes = 5'000;
    booking.share = 0.278;
    booking.worth = 2;
    booking.late_worth = 0.6;
    booking.max_retries = 2;
    booking.calls = {{unit_history, 2, 0.7}};

    auto& upload = out[report_upload];
    upload.route = make_route("report-upload", "reports", repeatability::upload,
                              3'000, 500, 1);
    upload.mean_service_time_ms = 120;
    upload.service_time_sigma = 0.8;
    upload.caller_timeout = milliseconds(3'000);
    upload.mean_body_bytes = 60'000;
    upload.response_bytes = 1'500;
    upload.share = 0.089;
    upload.worth = 2;
    upload.late_worth = 0.6;
    upload.max_retries = 2;

    out[slot_check].route = make_route("slot-check", "dispatch",
                                       repeatability::idempotent, 400, 150, 2);
    out[unit_history].route = make_route(
        "unit-history", "reports", repeatability::idempotent, 400, 150, 2);
    for (auto const i : {slot_check, unit_history})
    {
        out[i].mean_service_time_ms = 30;
        out[i].service_time_sigma = 0.5;
        out[i].caller_timeout = milliseconds(400);
        out[i].response_bytes = 500;
    }
    return out;
}

deployment make_calm()
{
    deployment it;
    it.data_centres = {core::data_centre("lj-a"), core::data_centre("lj-b"),
                       core::data_centre("lj-c")};
    it.services = {
        {core::service_name("catalogue"), {2, 2, 2}, {0.7, 0.7, 1.6}},
        {core::service_name("dispatch"), {2, 2, 1}, {0.6, 1, 1.4}},
        {core::service_name("reports"), {1, 1, 1}, {0.7, 0.7, 1.6}}};
    it.request_kinds = make_request_kinds();
    it.requests_per_second = 150;
    it.rate_amplitude = 0.55;
    return it;
}

deployment make_crest()
{
    auto it = make_calm();
    it.requests_per_second = 317;
    return it;
}

deployment make_burst()
{
    auto it = make_calm();
    it.requests_per_second = 230;
    it.disturbances = {{6, 10, 1.8, 0, 1}};
    return it;
}

deployment make_slow_workers()
{
    auto it = make_calm();
    it.requests_per_second = 230;
    it.disturbances = {{5, 14, 1, 0.3, 6}};
    return it;
}

// 77 VMs with a link of 7.7 Mbit/s each, that is, 962'500 bytes a second.
deployment make_narrow_links()
{
    auto it = make_calm();
    it.services = {
        {core::service_name("catalogue"), {11, 15, 13}, {0.7, 0.7, 1.6}},
        {core::service_name("dispatch"), {9, 11, 9}, {0.6, 1, 1.4}},
        {core::service_name("reports"), {3, 3, 3}, {0.7, 0.7, 1.6}}};
    it.requests_per_second = 900;
    it.link_bandwidth = core::bytes_per_second(962'500);
    it.duration_s = 12;
    return it;
}

// Indexes into deployment::request_kinds of make_narrow_downloads().
enum download_index : std::size_t
{
    statement_lookup,
    authorship_claim,
    ledger_export,
    royalty_payout,
    works_check,
    holder_check,
};

std::vector<request_kind> make_download_kinds()
{
    struct row
    {
        char const* name;
        char const* service;
        repeatability kind;
        long timeout_ms;
        long target_latency_ms;
        std::uint32_t rank;
        double service_time_ms;
        long caller_timeout_ms;
        double response_bytes;
        double share;
        double worth;
        double late_worth;
    };
    constexpr row rows[] = {
        {"statement-lookup", "consult", repeatability::idempotent, 1'500, 1'000,
         1, 270, 3'000, 400, 0.588, 1.2, 0.35},
        {"authorship-claim", "repertoire", repeatability::non_idempotent, 2'000,
         2'500, 2, 360, 4'000, 5'000, 0.246, 1.2, 0.52},
        {"ledger-export", "tresorerie", repeatability::download, 4'000, 1'000,
         1, 220, 4'000, 90'000, 0.089, 1.2, 0.35},
        {"royalty-payout", "tresorerie", repeatability::non_idempotent, 1'500,
         800, 0, 220, 3'000, 400, 0.077, 2.2, 0.27},
        {"works-check", "repertoire", repeatability::idempotent, 800, 250, 1,
         68, 800, 400, 0, 0, 0},
        {"holder-check", "tresorerie", repeatability::idempotent, 800, 250, 1,
         68, 800, 400, 0, 0, 0},
    };
    std::vector<request_kind> out;
    for (auto const& it : rows)
    {
        request_kind kind;
        kind.route = make_route(it.name, it.service, it.kind, it.timeout_ms,
                                it.target_latency_ms, it.rank);
        kind.mean_service_time_ms = it.service_time_ms;
        kind.service_time_sigma = 0.4;
        kind.caller_timeout = milliseconds(it.caller_timeout_ms);
        kind.response_bytes = it.response_bytes;
        kind.share = it.share;
        kind.worth = it.worth;
        kind.late_worth = it.late_worth;
        kind.max_retries = 1;
        out.push_back(std::move(kind));
    }
    out[statement_lookup].calls = {{works_check, 2, 0.7}};
    out[authorship_claim].calls = {{holder_check, 2, 0.7}};
    return out;
}

// 89 VMs with a link of 11 Mbit/s each, that is, 1'375'000 bytes a second.
deployment make_narrow_downloads()
{
    deployment it;
    it.data_centres = {core::data_centre("plateau"),
                       core::data_centre("diamniadio"),
                       core::data_centre("rufisque")};
    it.services = {
        {core::service_name("consult"), {15, 13, 17}, {0.7, 0.7, 1.6}},
        {core::service_name("repertoire"), {12, 11, 9}, {0.6, 1, 1.4}},
        {core::service_name("tresorerie"), {4, 4, 4}, {0.7, 0.7, 1.6}}};
    it.request_kinds = make_download_kinds();
    it.slots = core::slot_count(12);
    it.requests_per_second = 1'300;
    it.rate_amplitude = 0.15;
    it.rate_period_s = 11;
    it.link_bandwidth = core::bytes_per_second(1'375'000);
    it.duration_s = 12;
    return it;
}

// Indexes into deployment::request_kinds of make_uneven_workers().
enum uneven_index : std::size_t
{
    balance_view,
    benefit_transfer,
    statement_pdf,
    address_change,
    eligibility_check,
    contribution_history,
};

std::vector<request_kind> make_uneven_kinds()
{
    struct row
    {
        char const* name;
        char const* service;
        repeatability kind;
        long timeout_ms;
        long target_latency_ms;
        std::uint32_t rank;
        double service_time_ms;
        double response_bytes;
        double requests_per_second;
        double worth;
        double late_worth;
    };
    constexpr row rows[] = {
        {"balance-view", "member-portal", repeatability::idempotent, 1'000, 400,
         2, 76, 2'000, 953, 1, 0.3},
        {"benefit-transfer", "payments-desk", repeatability::non_idempotent,
         1'200, 500, 1, 100, 1'000, 409, 2, 0.6},
        {"statement-pdf", "records-office", repeatability::download, 1'200, 500,
         2, 60, 30'000, 163, 1, 0.3},
        {"address-change", "records-office", repeatability::non_idempotent, 800,
         300, 2, 60, 500, 111, 1, 0.3},
        {"eligibility-check", "payments-desk", repeatability::idempotent, 250,
         80, 2, 22, 500, 0, 0, 0},
        {"contribution-history", "records-office", repeatability::idempotent,
         250, 80, 2, 22, 500, 0, 0, 0},
    };
    std::vector<request_kind> out;
    for (auto const& it : rows)
    {
        request_kind kind;
        kind.route = make_route(it.name, it.service, it.kind, it.timeout_ms,
                                it.target_latency_ms, it.rank);
        kind.mean_service_time_ms = it.service_time_ms;
        kind.service_time_sigma = 0.5;
        kind.caller_timeout = milliseconds(it.timeout_ms);
        kind.response_bytes = it.response_bytes;
        kind.share = it.requests_per_second / 1'636;
        kind.worth = it.worth;
        kind.late_worth = it.late_worth;
        kind.max_retries = 2;
        out.push_back(std::move(kind));
    }
    out[balance_view].calls = {{eligibility_check, 2, 0.7, true}};
    out[benefit_transfer].calls = {{contribution_history, 1, 0.7}};
    return out;
}

} // namespace

// 59 VMs with a link of 21 Mbit/s each, that is, 2'625'000 bytes a second.
deployment make_uneven_workers()
{
    deployment it;
    it.data_centres = {core::data_centre("a"), core::data_centre("b"),
                       core::data_centre("c"), core::data_centre("d")};
    std::vector<double> const factors{0.55, 1.2, 1.2, 1.2};
    it.services = {
        {core::service_name("member-portal"), {8, 7, 7, 7}, factors},
        {core::service_name("payments-desk"), {6, 6, 5, 5}, factors},
        {core::service_name("records-office"), {2, 2, 2, 2}, factors}};
    it.request_kinds = make_uneven_kinds();
    it.requests_per_second = 1'636;
    it.rate_amplitude = 0.55;
    it.mean_clump_size = 4;
    it.publishes_load = true;
    it.cross_data_centre_delay = milliseconds(1);
    it.link_bandwidth = core::bytes_per_second(2'625'000);
    it.duration_s = 15;
    return it;
}

deployment resize(deployment spec, std::size_t workers)
{
    auto const count = [](service const& it) {
        return std::accumulate(it.workers.begin(), it.workers.end(),
                               std::size_t{0});
    };
    std::size_t previous = 0;
    for (auto const& it : spec.services)
    {
        previous += count(it);
    }
    double const factor =
        static_cast<double>(workers) / static_cast<double>(previous);
    spec.requests_per_second *= factor;
    std::size_t next_data_centre = 0;
    for (auto& it : spec.services)
    {
        auto const n = std::max<std::size_t>(
            1, static_cast<std::size_t>(
                   std::lround(factor * static_cast<double>(count(it)))));
        std::fill(it.workers.begin(), it.workers.end(), 0);
        for (std::size_t i = 0; i < n; ++i)
        {
            ++it.workers[next_data_centre++ % it.workers.size()];
        }
    }
    return spec;
}

std::vector<pattern> const& all_patterns()
{
    static std::vector<pattern> const all{
        {"calm", "14 workers that use half of their slots", make_calm},
        {"crest", "waves of demand that exceed the slots", make_crest},
        {"burst", "1.8 times the demand for 4 seconds", make_burst},
        {"slow-workers", "30 % of the workers are slower by a factor of 6",
         make_slow_workers},
        {"narrow-links", "77 workers behind links of 7.7 Mbit/s",
         make_narrow_links},
        {"narrow-downloads",
         "89 workers behind links of 11 Mbit/s, with responses of 90 kB",
         make_narrow_downloads},
        {"uneven-workers",
         "59 workers whose speeds differ by a factor of two, requests in "
         "clumps",
         make_uneven_workers},
        {"cold-workers",
         "59 workers that return cold after a power cut of 2 seconds",
         make_cold_workers},
        {"evacuation",
         "one of four data centres is evacuated for 5 seconds, and its workers "
         "are cold then",
         make_evacuation},
        {"second-cold-periods",
         "the same as cold-workers, and the workers become cold again twice",
         make_second_cold_periods},
    };
    return all;
}

} // namespace yuccafall::bench::model
