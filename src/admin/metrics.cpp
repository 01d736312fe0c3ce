// Formats the metrics with the types of prometheus-cpp.
//
// The counters themselves are plain atomics in their components, so that the
// traffic threads avoid the cost of the library's metric objects. Each scrape
// copies their values.
#include <prometheus/metric_family.h>
#include <prometheus/text_serializer.h>

#include "admin/process_usage.hpp"
#include "admin/response_bodies.hpp"
#include "core/event_loop.hpp"
#include "core/log.hpp"

namespace yuccafall::admin {

namespace {

using prometheus::ClientMetric;
using prometheus::MetricFamily;
using prometheus::MetricType;
using families = std::vector<MetricFamily>;

constexpr double ms_per_second = 1e3;

MetricFamily& add_family(families& out, char const* name, char const* help,
                         MetricType type)
{
    out.emplace_back();
    out.back().name = name;
    out.back().help = help;
    out.back().type = type;
    return out.back();
}

void add_value(MetricFamily& to, double value,
               std::vector<ClientMetric::Label> labels = {})
{
    ClientMetric it;
    it.label = std::move(labels);
    (to.type == MetricType::Counter ? it.counter.value : it.gauge.value) =
        value;
    to.metric.push_back(std::move(it));
}

template <class Number>
void add_counter(families& out, char const* name, char const* help,
                 Number value)
{
    add_value(add_family(out, name, help, MetricType::Counter),
              static_cast<double>(value));
}

template <class Number>
void add_gauge(families& out, char const* name, char const* help, Number value)
{
    add_value(add_family(out, name, help, MetricType::Gauge),
              static_cast<double>(value));
}

void add_control_metrics(families& out, control_status const& it)
{
    add_gauge(out, "yuccafall_ready", "1 if the node takes callers.",
              it.ready ? 1 : 0);
    add_gauge(out, "yuccafall_configuration_version",
              "Version of the configuration in force.", it.version.value());
    add_gauge(out, "yuccafall_configuration_age_seconds",
              "Time since the configuration in force was applied.",
              static_cast<double>(it.applied_ago.count()) / ms_per_second);
    add_gauge(out, "yuccafall_state_age_seconds",
              "Time since the store or a peer confirmed what is held.",
              static_cast<double>(it.confirmed_ago.count()) / ms_per_second);
    add_gauge(out, "yuccafall_store_revision",
              "Revision of the store that is held.", it.as_of.value());
    add_gauge(out, "yuccafall_workers", "Workers that may get work.",
              it.workers);
    add_gauge(out, "yuccafall_evacuated_data_centres",
              "Data centres to whose workers nothing is sent.",
              it.evacuations.size());
    add_gauge(out, "yuccafall_store_reachable",
              "1 if the last call to the store succeeded.",
              it.store_reachable ? 1 : 0);
    add_counter(out, "yuccafall_store_calls_total",
                "Calls to the platform's store.", it.store_calls);
    add_counter(out, "yuccafall_configurations_refused_total",
                "Configurations that were refused whole.", it.refused);
    add_gauge(out, "yuccafall_routes_of_unknown_kind",
              "Routes of a kind that this version does not know.",
              it.unknown_kinds);
    add_gauge(out, "yuccafall_control_peers", "Nodes connected for control.",
              it.peers);
}

void add_latency_metrics(families& out, ingress::latency_histogram const& it)
{
    auto& to = add_family(out, "yuccafall_request_duration_seconds",
                          "From the arrival of a request to its answer.",
                          MetricType::Histogram);
    ClientMetric metric;
    std::uint64_t total = 0;
    for (std::size_t i = 0; i < ingress::latency_bounds.size(); ++i)
    {
        total += core::value_of(it.buckets[i]);
        ClientMetric::Bucket bucket;
        bucket.cumulative_count = total;
        bucket.upper_bound =
            static_cast<double>(ingress::latency_bounds[i].count()) /
            ms_per_second;
        metric.histogram.bucket.push_back(bucket);
    }
    metric.histogram.sample_count = total + core::value_of(it.buckets.back());
    metric.histogram.sample_sum =
        static_cast<double>(core::value_of(it.sum_ms)) / ms_per_second;
    to.metric.push_back(std::move(metric));
}

void add_ingress_metrics(families& out, ingress::counters const& it)
{
    add_counter(out, "yuccafall_requests_total", "Requests of callers.",
                core::value_of(it.requests));
    add_counter(out, "yuccafall_requests_answered_total",
                "Requests that ended with a worker's answer.",
                core::value_of(it.answered));
    add_counter(out, "yuccafall_callers_left_total",
                "Requests whose caller left before the answer.",
                core::value_of(it.callers_disconnected));
    add_counter(out, "yuccafall_offers_total", "Calls offered to upstreams.",
                core::value_of(it.offers));
    add_counter(out, "yuccafall_redirects_total",
                "Calls offered again that had reached no worker.",
                core::value_of(it.redirects));
    add_counter(out, "yuccafall_free_slot_refusals_total",
                "Offers refused by a full worker while another seemed free.",
                core::value_of(it.free_slot_refusals));
    add_gauge(out, "yuccafall_unresponsive_nodes",
              "Nodes that have sent nothing for 350 ms despite a ping.",
              core::value_of(it.unresponsive_nodes));
    add_counter(out, "yuccafall_unresponsive_avoided_total",
                "Calls offered elsewhere because a node was unresponsive.",
                core::value_of(it.unresponsive_avoided));
    add_counter(out, "yuccafall_unresponsive_moved_total",
                "Open calls offered elsewhere because a node was unresponsive.",
                core::value_of(it.unresponsive_moved));
    add_counter(out, "yuccafall_retries_total",
                "Calls offered again that had reached a worker.",
                core::value_of(it.retries));
    add_counter(out, "yuccafall_retries_denied_total",
                "Retries that the budget did not allow.",
                core::value_of(it.retries_denied));
    auto& ended = add_family(out, "yuccafall_requests_ended_total",
                             "Requests that ended with an answer of the node's "
                             "own, by cause.",
                             MetricType::Counter);
    for (std::size_t i = 0; i < it.refused.size(); ++i)
    {
        auto const kind = static_cast<core::error_kind>(i);
        add_value(
            ended, static_cast<double>(core::value_of(it.refused[i])),
            {{"cause", std::string(core::error_kind_info_for(kind).name)}});
    }
    add_counter(out, "yuccafall_calls_without_response_memory_total",
                "Calls refused because the memory of responses was used up.",
                core::value_of(it.responses_without_memory));
    auto& first_node = add_family(
        out, "yuccafall_first_node_refusals_total",
        "Requests refused because the queues of all compared workers "
        "would refuse them, by rank.",
        MetricType::Counter);
    auto const& by_rank = it.first_node_refusals.counts;
    for (std::size_t i = 0; i < by_rank.size(); ++i)
    {
        add_value(
            first_node, static_cast<double>(core::value_of(by_rank[i])),
            {{"rank", i + 1 < by_rank.size() ? std::to_string(i) : "other"}});
    }
    add_counter(out, "yuccafall_first_node_probes_total",
                "Requests offered although the queues of all compared workers "
                "would refuse them, so that they report their load.",
                core::value_of(it.first_node_probes));
    add_latency_metrics(out, it.latency);
}

void add_connection_metrics(families& out, http::connection_counters const& it)
{
    add_gauge(out, "yuccafall_caller_connections", "Open caller connections.",
              core::value_of(it.open));
    add_counter(out, "yuccafall_idle_connections_closed_total",
                "Idle caller connections that gave way to new ones.",
                core::value_of(it.idle_closed));
    add_counter(out, "yuccafall_connections_refused_total",
                "Caller connections refused because none was idle.",
                core::value_of(it.refused));
    add_counter(out, "yuccafall_slow_bodies_ended_total",
                "Requests whose bodies arrived too slowly.",
                core::value_of(it.slow_bodies_ended));
    add_counter(out, "yuccafall_requests_without_memory_total",
                "Requests rejected because their memory was used up.",
                core::value_of(it.requests_without_memory));
    auto& ended = add_family(out, "yuccafall_responses_ended_total",
                             "Responses that were broken off, by reason.",
                             MetricType::Counter);
    add_value(ended,
              static_cast<double>(core::value_of(it.slow_responses_ended)),
              {{"reason", "slow_reader"}});
    add_value(
        ended,
        static_cast<double>(core::value_of(it.responses_ended_for_memory)),
        {{"reason", "memory"}});
}

void add_memory_metrics(families& out, core::memory_account const& it)
{
    std::pair<char const*, core::memory_part const*> const parts[] = {
        {"requests", it.requests.get()},
        {"responses", it.responses.get()},
        {"worker_responses", it.worker_responses.get()},
        {"frames", it.frames.get()},
        {"frames_reserve", it.frames ? it.frames->reserve().get() : nullptr},
        {"control_frames", it.control_frames.get()},
        {"operators", it.operators.get()}};
    MetricFamily used;
    MetricFamily limit;
    used.name = "yuccafall_memory_held_bytes";
    used.help = "Memory held for callers and other nodes, by part.";
    used.type = MetricType::Gauge;
    limit.name = "yuccafall_memory_limit_bytes";
    limit.help = "The limit of each part of the memory.";
    limit.type = MetricType::Gauge;
    for (auto const& [name, part] : parts)
    {
        if (part != nullptr)
        {
            add_value(used, static_cast<double>(part->used().value()),
                      {{"part", name}});
            add_value(limit, static_cast<double>(part->limit().value()),
                      {{"part", name}});
        }
    }
    out.push_back(std::move(used));
    out.push_back(std::move(limit));
}

void add_worker_metrics(families& out, upstream::counters const& it)
{
    add_counter(out, "yuccafall_worker_offers_total",
                "Calls offered for the worker beside this node.",
                core::value_of(it.offers));
    add_counter(out, "yuccafall_worker_runs_total", "Calls sent to the worker.",
                core::value_of(it.runs));
    add_counter(out, "yuccafall_worker_refused_total",
                "Offers that were refused, by the node or the worker.",
                core::value_of(it.refused));
    add_counter(out, "yuccafall_worker_evacuated_total",
                "Offers that were refused because the data centre is "
                "evacuated.",
                core::value_of(it.evacuated));
    add_counter(out, "yuccafall_worker_rejected_total",
                "Calls that the worker turned away.",
                core::value_of(it.rejected_by_worker));
    add_counter(out, "yuccafall_worker_failed_total",
                "Calls that the worker did not answer as it should.",
                core::value_of(it.failed));
    add_gauge(out, "yuccafall_worker_rate_limit",
              "Requests a second that the worker takes, or 0 without a limit.",
              static_cast<double>(core::value_of(it.rate_limit)) / 1000);
    add_gauge(out, "yuccafall_worker_cold_rate",
              "Requests a second that the worker gets because it is or may be "
              "cold, or 0 without a limit.",
              static_cast<double>(core::value_of(it.cold_rate)) / 1000);
    add_counter(out, "yuccafall_worker_cold_waited_total",
                "Calls that waited for the cold rate before they were sent to "
                "the worker.",
                core::value_of(it.cold_waited));
    add_counter(out, "yuccafall_worker_cold_refused_total",
                "Offers that were refused because of the cold rate.",
                core::value_of(it.cold_refused));
    add_counter(out, "yuccafall_worker_health_requests_total",
                "Health responses requested from the worker.",
                core::value_of(it.health_requests));
    add_counter(out, "yuccafall_worker_lost_total",
                "Calls that the worker dropped without a response.",
                core::value_of(it.lost));
    add_counter(out, "yuccafall_worker_canceled_total",
                "Calls that the callers' nodes gave up.",
                core::value_of(it.canceled));
}

void add_invalid_response_metrics(families& out, node_state const& it)
{
    auto& to = add_family(out, "yuccafall_invalid_responses_total",
                          "Responses that were not used since they were "
                          "incomplete or malformed, by source and reason.",
                          MetricType::Counter);
    auto const add_source = [&](char const* source,
                                http::response_fault_counters const* counts) {
        for (std::size_t i = 0;
             counts != nullptr && i < http::response_fault_count; ++i)
        {
            auto const fault = static_cast<http::response_fault>(i);
            add_value(to, static_cast<double>(counts->count_of(fault)),
                      {{"source", source},
                       {"reason", std::string(to_string(fault))}});
        }
    };
    if (it.upstream_counters)
    {
        add_source("worker", &it.upstream_counters->invalid_responses);
        add_source("health", &it.upstream_counters->invalid_health_responses);
    }
    if (it.ingress_counters)
    {
        add_source("node", &it.ingress_counters->invalid_responses);
    }
    add_source("store", it.control.invalid_store_responses.get());
    add_source("status", it.invalid_status_responses.get());
}

void add_process_metrics(families& out)
{
    auto const usage = read_process_usage();
    add_counter(out, "process_cpu_seconds_total",
                "Processor time of the process, user and system.",
                std::chrono::duration<double>(usage.cpu_time).count());
    add_gauge(out, "process_resident_memory_bytes",
              "Resident memory of the process.", usage.resident_memory.value());
    add_counter(out, "yuccafall_failed_handlers_total",
                "Handlers of events that an exception has ended.",
                core::failed_handlers());
    auto const log = core::current_log_counts();
    add_counter(out, "yuccafall_log_lines_dropped_total",
                "Log lines that the output had no room for.", log.dropped);
    add_counter(out, "yuccafall_log_lines_suppressed_total",
                "Log lines over the rate limit.", log.suppressed);
}

} // namespace

std::string metrics_body(node_state const& it)
{
    families out;
    add_control_metrics(out, it.control);
    if (it.ingress_counters)
    {
        add_ingress_metrics(out, *it.ingress_counters);
        add_connection_metrics(out, it.ingress_counters->connections);
    }
    if (it.upstream_counters)
    {
        add_worker_metrics(out, *it.upstream_counters);
    }
    add_invalid_response_metrics(out, it);
    add_memory_metrics(out, it.memory);
    add_process_metrics(out);
    return prometheus::TextSerializer().Serialize(out);
}

} // namespace yuccafall::admin
