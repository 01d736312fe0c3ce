// Connects the decisions of replication and membership to the store and to the
// traffic threads.
#include "node/control_plane.hpp"

#include <algorithm>
#include <random>
#include <utility>

#include <boost/asio/post.hpp>

#include "core/log.hpp"
#include "core/overloaded.hpp"
#include "platform/published_values.hpp"

namespace yuccafall::node {

namespace {

std::uint64_t random_seed()
{
    std::random_device device;
    return (std::uint64_t{device()} << 32) | device();
}

replication::replicator_settings replicator_settings_of(settings const& it)
{
    replication::replicator_settings out;
    out.own_data_centre = it.data_centre;
    out.is_seed = std::find(it.seeds.begin(), it.seeds.end(), it.control) !=
                  it.seeds.end();
    return out;
}

} // namespace

control_plane::control_plane(boost::asio::io_context& context,
                             node::settings settings, publish_function publish)
    : context_(context), timer_(context), settings_(std::move(settings)),
      publish_(std::move(publish)),
      store_(std::make_shared<platform::store_client>(
          context, platform::store_settings{settings_.platform})),
      replicator_(replicator_settings_of(settings_), random_seed())
{}

core::result<void> control_plane::start()
{
    links_ = std::make_shared<control_links>(
        context_,
        [weak = weak_from_this()](replication::replicator_event const& it) {
            if (auto const self = weak.lock())
            {
                self->feed(it);
            }
        },
        [weak = weak_from_this()](poison::crash_notice const& it) {
            if (auto const self = weak.lock())
            {
                self->suspect(it);
            }
        });
    if (auto listening = links_->listen(settings_.control); !listening)
    {
        return listening;
    }
    std::set<core::endpoint> seeds(settings_.seeds.begin(),
                                   settings_.seeds.end());
    seeds.erase(settings_.control);
    links_->want(seeds);
    feed(replication::started{});
    return {};
}

void control_plane::stop()
{
    timer_.cancel();
    store_->close();
    links_->stop();
}

void control_plane::suspect(poison::crash_notice const& it)
{
    auto const now = core::boot_clock::now();
    auto const before = suspects_.poisoned(now);
    if (!suspects_.merge(it, now))
    {
        return;
    }
    links_->flood(it);
    if (suspects_.poisoned(now) != before)
    {
        core::log_event(core::log_level::warning, "request_poisoned",
                        {{"request", it.request.value()}});
        view_is_old_ = true;
        publish();
    }
    watch_time();
}

bool control_plane::is_ready() const
{
    return routes_ != nullptr && !replicator_.state().empty();
}

admin::control_status control_plane::status() const
{
    admin::control_status it;
    if (routes_)
    {
        it.version = routes_->source_configuration().version;
        it.routes = routes_->source_configuration().routes.size();
        it.applied_ago = std::chrono::duration_cast<core::milliseconds>(
            core::boot_clock::now() - applied_at_);
    }
    it.ready = is_ready();
    it.as_of = replicator_.state().as_of();
    it.workers = directory_.eligible_workers().size();
    it.reads_store = replicator_.reads_store();
    it.store_reachable = store_reachable_;
    it.confirmed_ago = replicator_.confirmed_ago(core::boot_clock::now());
    it.peers = replicator_.peer_count();
    it.store_calls = store_->calls();
    it.refused = refused_;
    return it;
}

std::vector<admin::node_address> control_plane::nodes() const
{
    std::map<core::ip_address, core::data_centre> places;
    for (auto const& [id, it] : directory_.known_workers())
    {
        places.emplace(it.address.address, it.data_centre);
    }
    std::vector<admin::node_address> out;
    out.reserve(places.size());
    for (auto const& [address, data_centre] : places)
    {
        out.push_back({{address, settings_.operators.port}, data_centre});
    }
    return out;
}

void control_plane::feed(replication::replicator_event const& it)
{
    auto const now = core::boot_clock::now();
    if (auto const* opened = std::get_if<replication::link_opened>(&it))
    {
        for (auto const& notice : suspects_.notices(now))
        {
            links_->send(opened->link, notice);
        }
    }
    auto const actions = replicator_.handle(it, now);
    for (auto const& a : actions)
    {
        std::visit([this](auto const& what) { act(what); }, a);
    }
    publish();
    watch_time();
}

std::function<void(replication::reader_event)> control_plane::store_handler()
{
    return [weak = weak_from_this()](replication::reader_event const& it) {
        auto const self = weak.lock();
        if (!self)
        {
            return;
        }
        std::visit(
            [&](auto const& e) {
                using event = std::decay_t<decltype(e)>;
                if constexpr (std::is_constructible_v<
                                  replication::replicator_event, event>)
                {
                    self->feed(e);
                }
            },
            it);
    };
}

void control_plane::act(replication::read_page const& it)
{
    store_->read_page(it.after_key, store_handler());
}

void control_plane::act(replication::watch const& it)
{
    store_->watch(it.after, it.wait, store_handler());
}

void control_plane::act(replication::send_message const& it)
{
    links_->send(it.link, it.content);
}

void control_plane::act(replication::deliver_items const& it)
{
    for (auto const& item : it.items)
    {
        take(item);
    }
}

void control_plane::act(replication::report_store_lost const& it)
{
    store_reachable_ = false;
    core::log_event(core::log_level::warning, "store_lost",
                    {{"reason", it.reason},
                     {"as_of", replicator_.state().as_of().value()}});
}

void control_plane::act(replication::report_store_regained const&)
{
    store_reachable_ = true;
    core::log_event(core::log_level::info, "store_regained",
                    {{"as_of", replicator_.state().as_of().value()}});
    tell_directory(membership::store_regained{});
}

void control_plane::take(replication::item const& it)
{
    std::visit(
        core::overloaded{
            [&](platform::configuration_key const&) { take_configuration(it); },
            [&](platform::worker_key const& key) { take_worker(key.id, it); },
            [](platform::other_key const&) {}},
        platform::meaning_of(it.key));
}

void control_plane::take_configuration(replication::item const& it)
{
    if (it.deleted)
    {
        // The configuration in force stays: nothing newer replaces it.
        core::log_event(core::log_level::warning, "configuration_deleted",
                        {{"revision", it.revision.value()}});
        return;
    }
    auto decoded = platform::decode_configuration(it.value);
    if (!decoded)
    {
        ++refused_;
        core::log_event(core::log_level::warning, "configuration_refused",
                        {{"revision", it.revision.value()},
                         {"reason", decoded.error().detail}});
        return;
    }
    auto const held = routes_ ? routes_->source_configuration().version
                              : core::configuration_version();
    if (decoded->version <= held)
    {
        core::log_event(core::log_level::info, "configuration_is_older",
                        {{"version", decoded->version.value()},
                         {"held", held.value()},
                         {"revision", it.revision.value()}});
        return;
    }
    routes_ = std::make_shared<routing::route_index const>(
        std::make_shared<routing::configuration const>(std::move(*decoded)));
    applied_at_ = core::boot_clock::now();
    view_is_old_ = true;
    core::log_event(
        core::log_level::info, "configuration_applied",
        {{"version", routes_->source_configuration().version.value()},
         {"before", held.value()},
         {"revision", it.revision.value()},
         {"routes", routes_->source_configuration().routes.size()}});
}

void control_plane::take_worker(core::upstream_id const& id,
                                replication::item const& it)
{
    if (it.deleted)
    {
        core::log_event(
            core::log_level::info, "worker_removed",
            {{"upstream", id.value()}, {"revision", it.revision.value()}});
        tell_directory(membership::entry_removed{id});
        return;
    }
    auto entry = platform::decode_worker(id, it.value);
    if (!entry)
    {
        core::log_event(core::log_level::warning, "worker_entry_unreadable",
                        {{"upstream", id.value()},
                         {"revision", it.revision.value()},
                         {"reason", entry.error().detail}});
        tell_directory(membership::entry_unreadable{id});
        return;
    }
    core::log_event(
        core::log_level::info, "worker_listed",
        {{"upstream", id.value()},
         {"service", entry->service.value()},
         {"address", core::to_string(entry->address)},
         {"data_centre", entry->data_centre.value()},
         {"draining", entry->state == membership::worker_state::draining},
         {"revision", it.revision.value()}});
    tell_directory(membership::entry_written{std::move(*entry), it.revision});
}

void control_plane::tell_directory(membership::directory_event const& it)
{
    view_is_old_ =
        directory_.handle(it, core::boot_clock::now()) || view_is_old_;
}

void control_plane::publish()
{
    if (!std::exchange(view_is_old_, false))
    {
        return;
    }
    auto view = std::make_shared<ingress::traffic_view>();
    view->routes = routes_;
    std::set<core::ip_address> nodes;
    for (auto const& it : directory_.eligible_workers())
    {
        nodes.insert(it.address.address);
        view->upstreams[it.service].push_back(
            {it.id,
             {it.address.address, settings_.traffic.port},
             it.data_centre,
             it.slots});
    }
    for (auto const& [id, it] : directory_.known_workers())
    {
        if (it.address == settings_.worker)
        {
            view->local_workers.push_back(
                {id, it.slots, it.state == membership::worker_state::draining});
        }
    }
    view->poisoned = suspects_.poisoned(core::boot_clock::now());
    view->nodes = core::node_count(std::max<std::size_t>(nodes.size(), 1));
    view_ = std::move(view);
    publish_(view_);
    assign_duty();
}

void control_plane::assign_duty()
{
    std::vector<replication::node_place> nodes;
    for (auto const& it : directory_.eligible_workers())
    {
        nodes.push_back(
            {{it.address.address, settings_.control.port}, it.data_centre});
    }
    if (nodes.empty())
    {
        // The seeds stay until the list of workers is known.
        return;
    }
    auto const it =
        replication::role_of({settings_.control, settings_.data_centre}, nodes);
    links_->want(it.sources);
    // Posted: this runs within the handling of another event.
    boost::asio::post(context_,
                      [weak = weak_from_this(), reads = it.reads_store] {
                          if (auto const self = weak.lock())
                          {
                              self->feed(replication::role_assigned{reads});
                          }
                      });
}

void control_plane::forget_poison()
{
    view_is_old_ =
        view_is_old_ || (view_ && suspects_.poisoned(core::boot_clock::now()) !=
                                      view_->poisoned);
}

void control_plane::watch_time()
{
    auto const reader = replicator_.next_wake();
    auto const directory = directory_.next_wake();
    auto const poison = suspects_.next_wake(core::boot_clock::now());
    auto const due = std::min({reader.value_or(core::instant::max()),
                               directory.value_or(core::instant::max()),
                               poison.value_or(core::instant::max())});
    if (due == core::instant::max())
    {
        return;
    }
    // At least a millisecond away: timers are no finer than that.
    timer_.expires_after(std::max<core::duration>(due - core::boot_clock::now(),
                                                  core::milliseconds(1)));
    timer_.async_wait(
        [weak = weak_from_this()](boost::system::error_code const& ec) {
            if (auto const self = weak.lock(); self && !ec)
            {
                self->tell_directory(membership::time_passed{});
                self->forget_poison();
                self->feed(replication::timer_fired{});
            }
        });
}

} // namespace yuccafall::node
