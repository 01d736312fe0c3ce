// Creates the components that handle traffic and runs their thread.
#include "node/traffic_plane.hpp"

#include <csignal>
#include <random>
#include <utility>

#include <boost/asio/post.hpp>

#include "core/event_loop.hpp"

namespace yuccafall::node {

namespace asio = boost::asio;

namespace {

std::uint64_t random_seed()
{
    std::random_device device;
    return (std::uint64_t{device()} << 32) | device();
}

ingress::ingress_settings
ingress_settings_of(settings const& it, resource_limits const& limits,
                    core::memory_account const& memory)
{
    ingress::ingress_settings out;
    out.service = it.service;
    out.data_centre = it.data_centre;
    out.listen_endpoint = it.callers;
    out.own_node = it.traffic;
    out.request_memory = memory.requests;
    out.response_memory = memory.responses;
    out.max_connections = limits.caller_connections;
    out.min_transfer_rate = it.min_caller_rate;
    out.transfer_window = it.caller_rate_window;
    out.retry_budget = it.retries;
    out.seed = random_seed();
    return out;
}

} // namespace

traffic_plane::traffic_plane(
    node::settings settings, metadata::header_codec header_codec,
    upstream::worker_owner::poison_notice_handler on_poison_notice)
    : settings_(std::move(settings)), header_codec_(header_codec),
      on_poison_notice_(std::move(on_poison_notice)),
      ingress_counters_(std::make_shared<ingress::counters>()),
      upstream_counters_(std::make_shared<upstream::counters>()),
      limits_(limits_for(settings_, descriptor_limit())),
      memory_(make_memory_account(limits_))
{}

traffic_plane::~traffic_plane()
{
    stop();
}

core::result<void> traffic_plane::start()
{
    if (settings_.link_bandwidth.value() > 0)
    {
        transport::link_pacer_settings pacing;
        pacing.bandwidth = settings_.link_bandwidth;
        link_ = std::make_shared<transport::paced_link>(context_.get_executor(),
                                                        pacing);
    }
    auto const local_runs = std::make_shared<retries::local_runs>();
    owner_ = std::make_shared<upstream::worker_owner>(
        context_,
        upstream::worker_owner_settings{
            settings_.worker, settings_.link_bandwidth, limits_.max_response,
            core::incarnation(random_seed()), local_runs,
            memory_.worker_responses},
        header_codec_, on_poison_notice_, upstream_counters_, link_);
    auto peer_server = peers::peer_server::listen(
        context_, settings_.traffic,
        {[owner = owner_](peers::session_id from, peers::message message,
                          peers::reply_function reply) {
             owner->handle(from, std::move(message), std::move(reply));
         },
         [owner = owner_](peers::session_id session) {
             owner->on_session_closed(session);
         }},
        {link_, memory_.frames, limits_.peer_sessions});
    if (!peer_server)
    {
        return tl::unexpected(peer_server.error());
    }
    peer_server_ = std::move(*peer_server);
    peers::peer_link_settings link_settings;
    link_settings.link = link_;
    link_settings.frame_memory = memory_.frames;
    peer_links_ = std::make_shared<peers::peer_links>(
        context_, settings_.traffic,
        [owner = owner_](peers::message message, peers::reply_function reply) {
            owner->handle(upstream::local_session, std::move(message),
                          std::move(reply));
        },
        link_settings);
    auto ingress_settings = ingress_settings_of(settings_, limits_, memory_);
    ingress_settings.local_runs = local_runs;
    ingress_ = std::make_shared<ingress::ingress>(
        context_, std::move(ingress_settings), header_codec_, peer_links_,
        ingress_counters_, link_);
    if (auto listening = ingress_->listen(); !listening)
    {
        return listening;
    }
    work_guard_.emplace(context_.get_executor());
    // The traffic thread inherits a mask that blocks all signals, so that the
    // control thread handles them.
    sigset_t all_signals;
    sigset_t previous_mask;
    sigfillset(&all_signals);
    pthread_sigmask(SIG_SETMASK, &all_signals, &previous_mask);
    thread_ =
        std::thread([this] { core::run_event_loop(context_, "traffic"); });
    pthread_sigmask(SIG_SETMASK, &previous_mask, nullptr);
    return {};
}

void traffic_plane::publish(std::shared_ptr<ingress::traffic_view const> view)
{
    asio::post(context_, [this, view = std::move(view)]() mutable {
        if (view->local_service)
        {
            owner_->set_service(*view->local_service);
        }
        owner_->set_workers(view->local_workers);
        owner_->set_suspects(view->suspects);
        ingress_->set_view(std::move(view));
    });
}

void traffic_plane::start_draining(core::instant calls_end_at)
{
    asio::post(context_, [this, calls_end_at] {
        ingress_->start_draining(calls_end_at);
    });
}

void traffic_plane::drain_worker()
{
    asio::post(context_, [this] { owner_->start_draining(); });
}

void traffic_plane::stop_accepting_requests()
{
    asio::post(context_, [this] { ingress_->stop_accepting_requests(); });
}

void traffic_plane::query_state(std::function<void(traffic_state)> done)
{
    asio::post(context_, [this, done = std::move(done)] {
        done({ingress_->requests_open(), owner_->running(),
              ingress_->last_request()});
    });
}

void traffic_plane::stop()
{
    if (!thread_.joinable())
    {
        return;
    }
    asio::post(context_, [this] {
        ingress_->stop();
        peer_server_->stop();
        owner_->close();
        work_guard_.reset();
        context_.stop();
    });
    thread_.join();
}

} // namespace yuccafall::node
