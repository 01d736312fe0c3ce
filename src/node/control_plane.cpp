// Connects the decisions of replication and membership to the store and to the
// traffic threads.
#include "node/control_plane.hpp"

#include <algorithm>
#include <random>
#include <utility>

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

} // namespace

control_plane::control_plane(boost::asio::io_context& context,
                             node::settings settings, publish_function publish)
    : context_(context), timer_(context), settings_(std::move(settings)),
      publish_(std::move(publish)),
      store_(std::make_shared<platform::store_client>(
          context, platform::store_settings{settings_.platform})),
      reader_({}, random_seed())
{}

void control_plane::start()
{
    feed(replication::wake{});
}

void control_plane::stop()
{
    timer_.cancel();
    store_->close();
}

bool control_plane::is_ready() const
{
    return routes_ != nullptr && !state_.empty();
}

admin::control_status control_plane::status() const
{
    admin::control_status it;
    if (routes_)
    {
        it.version = routes_->source().version;
        it.routes = routes_->source().routes.size();
        it.applied_ago = std::chrono::duration_cast<core::milliseconds>(
            core::boot_clock::now() - applied_at_);
    }
    it.ready = is_ready();
    it.as_of = state_.as_of();
    it.workers = directory_.workers().size();
    it.store_reachable = store_reachable_;
    it.store_calls = store_->calls();
    it.refused = refused_;
    return it;
}

std::vector<admin::node_place> control_plane::nodes() const
{
    std::map<core::ip_address, core::data_centre> places;
    for (auto const& [id, it] : directory_.known())
    {
        places.emplace(it.address.address, it.data_centre);
    }
    std::vector<admin::node_place> out;
    for (auto const& [address, data_centre] : places)
    {
        out.push_back({{address, settings_.operators.port}, data_centre});
    }
    return out;
}

void control_plane::feed(replication::reader_event const& it)
{
    auto const actions = reader_.handle(it, core::boot_clock::now());
    for (auto const& a : actions)
    {
        std::visit([this](auto const& what) { act(what); }, a);
    }
    publish();
    watch_time();
}

void control_plane::act(replication::read_page const& it)
{
    store_->read_page(it.after_key, [weak = weak_from_this()](
                                        replication::reader_event const& e) {
        if (auto const self = weak.lock())
        {
            self->feed(e);
        }
    });
}

void control_plane::act(replication::watch const& it)
{
    store_->watch(
        it.after, it.wait,
        [weak = weak_from_this()](replication::reader_event const& e) {
            if (auto const self = weak.lock())
            {
                self->feed(e);
            }
        });
}

void control_plane::act(replication::take_changes const& it)
{
    if (!std::exchange(store_reachable_, true))
    {
        core::log_event(core::log_level::info, "store_reached",
                        {{"as_of", it.changes.as_of.value()},
                         {"items", it.changes.items.size()}});
    }
    auto const news = state_.apply(it.changes);
    if (!news)
    {
        return;
    }
    for (auto const& item : *news)
    {
        take(item);
    }
}

void control_plane::act(replication::report_lost const& it)
{
    store_reachable_ = false;
    core::log_event(core::log_level::warning, "store_lost",
                    {{"reason", it.reason}, {"as_of", state_.as_of().value()}});
}

void control_plane::act(replication::report_regained const&)
{
    store_reachable_ = true;
    core::log_event(core::log_level::info, "store_regained",
                    {{"as_of", state_.as_of().value()}});
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
    auto const held =
        routes_ ? routes_->source().version : core::configuration_version();
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
    core::log_event(core::log_level::info, "configuration_applied",
                    {{"version", routes_->source().version.value()},
                     {"before", held.value()},
                     {"revision", it.revision.value()},
                     {"routes", routes_->source().routes.size()}});
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
    for (auto const& it : directory_.workers())
    {
        nodes.insert(it.address.address);
        view->upstreams[it.service].push_back(
            {it.id,
             {it.address.address, settings_.traffic.port},
             it.data_centre,
             it.slots});
    }
    for (auto const& [id, it] : directory_.known())
    {
        if (it.address == settings_.worker)
        {
            view->beside.push_back(
                {id, it.slots, it.state == membership::worker_state::draining});
        }
    }
    view->nodes = core::node_count(std::max<std::size_t>(nodes.size(), 1));
    view_ = std::move(view);
    publish_(view_);
}

void control_plane::watch_time()
{
    auto const reader = reader_.next_wake();
    auto const directory = directory_.next_wake();
    if (!reader && !directory)
    {
        return;
    }
    auto const due = std::min(reader.value_or(core::instant::max()),
                              directory.value_or(core::instant::max()));
    // At least a millisecond away: timers are no finer than that.
    timer_.expires_after(std::max<core::duration>(due - core::boot_clock::now(),
                                                  core::milliseconds(1)));
    timer_.async_wait(
        [weak = weak_from_this()](boost::system::error_code const& ec) {
            if (auto const self = weak.lock(); self && !ec)
            {
                self->tell_directory(membership::time_passed{});
                self->feed(replication::wake{});
            }
        });
}

} // namespace yuccafall::node
