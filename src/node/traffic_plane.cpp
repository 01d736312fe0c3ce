// Builds the traffic side and runs its thread.
#include "node/traffic_plane.hpp"

#include <csignal>
#include <random>
#include <utility>

#include <boost/asio/post.hpp>

namespace yuccafall::node {

namespace asio = boost::asio;

namespace {

// A fifth of the memory; bodies are copied on their way to the worker.
constexpr std::uint64_t part_for_requests = 5;

std::uint64_t random_seed()
{
    std::random_device device;
    return (std::uint64_t{device()} << 32) | device();
}

ingress::ingress_settings ingress_settings_of(settings const& it)
{
    ingress::ingress_settings out;
    out.service = it.service;
    out.data_centre = it.data_centre;
    out.listen_endpoint = it.callers;
    out.request_memory_limit =
        core::byte_count(it.memory.value() / part_for_requests);
    out.retry_budget = it.retries;
    out.seed = random_seed();
    return out;
}

} // namespace

traffic_plane::traffic_plane(node::settings settings,
                             dialect::functions dialect,
                             upstream::worker_owner::notice_handler suspects)
    : settings_(std::move(settings)), dialect_(dialect),
      suspects_(std::move(suspects)),
      counts_(std::make_shared<ingress::counters>()),
      owner_counts_(std::make_shared<upstream::counters>())
{}

traffic_plane::~traffic_plane()
{
    stop();
}

core::result<void> traffic_plane::start()
{
    owner_ = std::make_shared<upstream::worker_owner>(
        context_,
        upstream::worker_owner_settings{settings_.worker, settings_.link,
                                        core::incarnation(random_seed())},
        dialect_, suspects_, owner_counts_);
    auto peers = peers::peer_server::listen(
        context_, settings_.traffic,
        {[owner = owner_](peers::session_id from, peers::message m,
                          peers::reply_function reply) {
             owner->handle(from, std::move(m), std::move(reply));
         },
         [owner = owner_](peers::session_id gone) {
             owner->on_session_closed(gone);
         }});
    if (!peers)
    {
        return tl::unexpected(peers.error());
    }
    peers_ = std::move(*peers);
    links_ = std::make_shared<peers::peer_links>(
        context_, settings_.traffic,
        [owner = owner_](peers::message m, peers::reply_function reply) {
            owner->handle(upstream::local_session, std::move(m),
                          std::move(reply));
        });
    ingress_ = std::make_shared<ingress::ingress>(
        context_, ingress_settings_of(settings_), dialect_, links_, counts_);
    if (auto listening = ingress_->listen(); !listening)
    {
        return listening;
    }
    work_.emplace(context_.get_executor());
    // Signals go to the control thread.
    sigset_t all;
    sigset_t before;
    sigfillset(&all);
    pthread_sigmask(SIG_SETMASK, &all, &before);
    thread_ = std::thread([this] { context_.run(); });
    pthread_sigmask(SIG_SETMASK, &before, nullptr);
    return {};
}

void traffic_plane::publish(std::shared_ptr<ingress::traffic_view const> view)
{
    asio::post(context_, [this, view = std::move(view)]() mutable {
        owner_->set_workers(view->local_workers);
        ingress_->set_view(std::move(view));
    });
}

void traffic_plane::start_leaving()
{
    asio::post(context_, [this] { ingress_->start_draining(); });
}

void traffic_plane::release_worker()
{
    asio::post(context_, [this] { owner_->start_draining(); });
}

void traffic_plane::stop_taking()
{
    asio::post(context_, [this] { ingress_->stop_accepting(); });
}

void traffic_plane::ask_state(std::function<void(traffic_state)> done)
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
        peers_->stop();
        owner_->close();
        work_.reset();
        context_.stop();
    });
    thread_.join();
}

} // namespace yuccafall::node
