// Accepts the connections of callers and holds the state that all calls share.
#include "ingress/ingress.hpp"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

#include "ingress/call.hpp"

namespace yuccafall::ingress {

namespace {

// This header field names the error kind in responses that the node itself
// generates. It is meant for operators who read the log of a caller.
constexpr char error_kind_header[] = "Yuccafall-Error";

// The Retry-After header field states this time if no refusal has stated a
// retry delay.
constexpr core::milliseconds default_retry_after{200};

// How often the node tries to move open calls away from unresponsive nodes. The
// retry budget, which may have been used up, grows with each request.
constexpr core::milliseconds move_interval{50};

balancing::choice_settings choice_settings_for(ingress_settings const& it)
{
    balancing::choice_settings out;
    out.own_data_centre = it.data_centre;
    out.own_node = it.own_node;
    return out;
}

} // namespace

ingress::ingress(boost::asio::io_context& context, ingress_settings settings,
                 metadata::header_codec header_codec,
                 std::shared_ptr<peers::peer_links> links,
                 std::shared_ptr<counters> counters,
                 std::shared_ptr<transport::paced_link> link)
    : context_(context), settings_(std::move(settings)),
      header_codec_(header_codec), links_(std::move(links)),
      counters_(std::move(counters)), link_(std::move(link)),
      upstream_scores_(choice_settings_for(settings_)),
      retry_budget_(settings_.retry_budget),
      router_(settings_.max_nested_timeout), random_(settings_.seed),
      move_timer_(context_), incarnation_(random_.next())
{}

core::result<void> ingress::listen()
{
    auto opened = http::server::listen(
        context_, settings_.listen_endpoint,
        [weak = weak_from_this()](
            std::shared_ptr<http::server_connection> caller, http::request it) {
            if (auto const self = weak.lock())
            {
                std::make_shared<call>(self, std::move(caller), std::move(it))
                    ->start();
            }
        },
        [weak = weak_from_this()](core::error const& why) {
            auto const self = weak.lock();
            return self ? self->error_response(why, {}) : http::response{};
        });
    if (!opened)
    {
        return tl::unexpected(opened.error());
    }
    server_ = std::move(*opened);
    auto settings = server_->settings();
    settings.request_memory = settings_.request_memory;
    settings.response_memory = settings_.response_memory;
    settings.drops_abandoned_requests = true;
    settings.max_connections = settings_.max_connections;
    settings.min_transfer_rate = settings_.min_transfer_rate;
    settings.transfer_window = settings_.transfer_window;
    settings.link = link_;
    server_->set_settings(settings);
    server_->set_counters(std::shared_ptr<http::connection_counters>(
        counters_, &counters_->connections));
    links_->on_load_update(
        [weak = weak_from_this()](core::upstream_id const& of,
                                  balancing::load_report const& load) {
            if (auto const self = weak.lock())
            {
                self->upstream_scores_.record_report(of, load,
                                                     core::boot_clock::now());
            }
        });
    links_->on_liveness_change(
        [weak = weak_from_this()](core::endpoint const& node,
                                  peers::node_contact contact) {
            if (auto const self = weak.lock())
            {
                self->on_contact_changed(node, contact);
            }
        });
    return {};
}

void ingress::on_contact_changed(core::endpoint const& node,
                                 peers::node_contact contact)
{
    upstream_scores_.record_responsive(
        node, contact != peers::node_contact::unresponsive);
    counters_->unresponsive_nodes.store(upstream_scores_.unresponsive_nodes(),
                                        std::memory_order_relaxed);
    switch (contact)
    {
    case peers::node_contact::responsive:
        return;
    case peers::node_contact::unresponsive:
        schedule_move({});
        return;
    case peers::node_contact::lost:
        eject_workers_beside(node);
        return;
    }
}

// The calls at the node have left it, so that none of them reports that the
// node is unreachable.
void ingress::eject_workers_beside(core::endpoint const& node)
{
    auto const now = core::boot_clock::now();
    for (auto const& [service, workers] : view_->upstreams)
    {
        for (auto const& it : workers)
        {
            if (it.node == node)
            {
                upstream_scores_.record_node_lost(it.id, now);
            }
        }
    }
}

void ingress::schedule_move(core::milliseconds delay)
{
    if (std::exchange(move_scheduled_, true))
    {
        return;
    }
    move_timer_.expires_after(delay);
    move_timer_.async_wait(
        [weak = weak_from_this()](boost::system::error_code const& ec) {
            if (auto const self = weak.lock(); self && !ec)
            {
                self->move_scheduled_ = false;
                self->move_calls_from_unresponsive_nodes();
            }
        });
}

void ingress::move_calls_from_unresponsive_nodes()
{
    // A call that ends removes itself from the set.
    std::vector<std::shared_ptr<call>> calls;
    for (auto* it : open_calls_)
    {
        calls.push_back(it->shared_from_this());
    }
    for (auto const& it : calls)
    {
        it->leave_unresponsive_node();
    }
    if (upstream_scores_.unresponsive_nodes() != 0)
    {
        schedule_move(move_interval);
    }
}

void ingress::set_view(std::shared_ptr<traffic_view const> view)
{
    bool const new_routes = !view_ || view_->routes != view->routes;
    view_ = std::move(view);
    retry_budget_.set_nodes(view_->nodes);
    upstream_scores_.set_nodes(view_->nodes);
    std::set<core::upstream_id> listed;
    for (auto const& [service, workers] : view_->upstreams)
    {
        for (auto const& it : workers)
        {
            listed.insert(it.id);
        }
    }
    upstream_scores_.remove_unlisted(listed);
    if (!new_routes || !view_->routes)
    {
        return;
    }
    router_.reset_splits();
    auto const& limits = view_->routes->source_configuration().limits;
    auto settings = server_->settings();
    settings.sizes = {limits.max_header_bytes, limits.max_body_bytes};
    settings.head_timeout = limits.header_timeout;
    settings.idle_timeout = limits.idle_timeout;
    server_->set_settings(settings);
}

void ingress::start_draining(core::instant calls_end_at)
{
    router_.start_draining(calls_end_at);
    server_->start_draining();
    for (auto* it : open_calls_)
    {
        it->limit_deadline(calls_end_at);
    }
}

http::response ingress::error_response(core::error const& why,
                                       core::milliseconds retry_after) const
{
    auto const& row = core::error_kind_info_for(why.kind);
    http::response response;
    response.status = row.http_status;
    response.headers.push_back({error_kind_header, std::string(row.name)});
    if (row.may_resend)
    {
        auto const after =
            std::max(retry_after, core::milliseconds(0)).count() > 0
                ? retry_after
                : default_retry_after;
        response.headers.push_back(
            {"Retry-After",
             fmt::format("{:.3f}", static_cast<double>(after.count()) / 1000)});
    }
    return response;
}

} // namespace yuccafall::ingress
