// Carries out the actions of the replicator and publishes the resulting view to
// the traffic thread.
#include "node/control_plane.hpp"

#include <algorithm>
#include <random>
#include <utility>

#include <boost/asio/post.hpp>

#include "core/log.hpp"
#include "core/overloaded.hpp"
#include "node/traffic_view_builder.hpp"
#include "platform/store_values.hpp"

namespace yuccafall::node {

namespace {

std::uint64_t random_seed()
{
    std::random_device device;
    return (std::uint64_t{device()} << 32) | device();
}

std::string_view name_of(replication::reading_reason it)
{
    switch (it)
    {
    case replication::reading_reason::assigned_reader:
        return "assigned_reader";
    case replication::reading_reason::unconfirmed_copy:
        return "unconfirmed_copy";
    case replication::reading_reason::confirmed_copy:
        return "confirmed_copy";
    }
    return "unknown";
}

// Logs each route whose kind is unknown, up to a limit. The status and the
// metrics state how many there are.
void log_unknown_kinds(routing::configuration const& it)
{
    constexpr std::size_t max_lines = 8;
    for (std::size_t i = 0; i < std::min(it.unknown_kinds.size(), max_lines);
         ++i)
    {
        core::log_event(core::log_level::warning, "route_kind_unknown",
                        {{"version", it.version.value()},
                         {"route", it.unknown_kinds[i].route.value()},
                         {"kind", it.unknown_kinds[i].word},
                         {"treated_as", "non_idempotent"}});
    }
}

replication::replicator_settings replicator_settings_of(settings const& it)
{
    replication::replicator_settings out;
    out.own_data_centre = it.data_centre;
    out.is_seed = std::find(it.seeds.begin(), it.seeds.end(), it.control) !=
                  it.seeds.end();
    return out;
}

membership::directory_settings directory_settings_of(settings const& it)
{
    membership::directory_settings out;
    out.worker_heartbeat = it.worker_heartbeat;
    return out;
}

} // namespace

control_plane::control_plane(boost::asio::io_context& context,
                             node::settings settings,
                             std::shared_ptr<core::memory_part> frame_memory,
                             publish_function publish)
    : context_(context), timer_(context), settings_(std::move(settings)),
      frame_memory_(std::move(frame_memory)), publish_(std::move(publish)),
      store_(std::make_shared<platform::store_client>(
          context, platform::store_settings{settings_.platform})),
      replicator_(replicator_settings_of(settings_), random_seed()),
      directory_(directory_settings_of(settings_))
{}

core::result<void> control_plane::start()
{
    links_ = std::make_shared<control_links>(
        context_, frame_memory_,
        [weak = weak_from_this()](replication::replicator_event const& it) {
            if (auto const self = weak.lock())
            {
                self->handle_event(it);
            }
        },
        [weak = weak_from_this()](poison::notice const& it) {
            if (auto const self = weak.lock())
            {
                self->handle_poison_notice(it);
            }
        });
    if (auto listening = links_->listen(settings_.control); !listening)
    {
        return listening;
    }
    std::set<core::endpoint> seeds(settings_.seeds.begin(),
                                   settings_.seeds.end());
    seeds.erase(settings_.control);
    links_->set_sources(seeds);
    handle_event(replication::started{});
    return {};
}

void control_plane::stop()
{
    timer_.cancel();
    store_->close();
    links_->stop();
}

void control_plane::handle_poison_notice(poison::notice const& it)
{
    auto const now = core::boot_clock::now();
    auto const before = suspects_.poisoned(now);
    if (!suspects_.merge(it, now))
    {
        return;
    }
    links_->broadcast(it);
    auto const after = suspects_.poisoned(now);
    auto const request =
        std::visit([](auto const& n) { return n.request; }, it);
    if (after.size() != before.size())
    {
        core::log_event(core::log_level::warning,
                        after.count(request) != 0 ? "request_poisoned"
                                                  : "request_cleared",
                        {{"request", request.value()}});
    }
    view_outdated_ = true;
    publish_view();
    set_timer();
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
        it.unknown_kinds = routes_->source_configuration().unknown_kinds.size();
        it.applied_ago = std::chrono::duration_cast<core::milliseconds>(
            core::boot_clock::now() - applied_at_);
    }
    it.ready = is_ready();
    it.as_of = replicator_.state().as_of();
    std::map<core::data_centre, std::size_t> evacuated_workers;
    for (auto const& worker : directory_.eligible_workers())
    {
        ++(evacuations_.contains(worker.data_centre)
               ? evacuated_workers[worker.data_centre]
               : it.workers);
    }
    for (auto const& [data_centre, evacuation] : evacuations_.all())
    {
        it.evacuations.push_back(
            {data_centre, evacuation.revision,
             std::chrono::duration_cast<core::milliseconds>(
                 core::boot_clock::now() - evacuation.learned_at),
             evacuated_workers[data_centre]});
    }
    it.reads_store = replicator_.reads_store();
    it.store_reachable = store_reachable_;
    it.confirmed_ago = replicator_.confirmed_ago(core::boot_clock::now());
    it.peers = replicator_.peer_count();
    it.store_calls = store_->call_count();
    it.invalid_store_responses = store_->invalid_responses();
    it.refused = refused_configurations_;
    return it;
}

std::vector<admin::node_address> control_plane::nodes() const
{
    std::map<core::ip_address, core::data_centre> data_centres_by_address;
    for (auto const& [id, it] : directory_.known_workers())
    {
        data_centres_by_address.emplace(it.address.address, it.data_centre);
    }
    std::vector<admin::node_address> out;
    out.reserve(data_centres_by_address.size());
    for (auto const& [address, data_centre] : data_centres_by_address)
    {
        out.push_back({{address, settings_.operators.port}, data_centre});
    }
    return out;
}

void control_plane::handle_event(replication::replicator_event const& it)
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
    for (auto const& action : actions)
    {
        std::visit(
            [this](auto const& concrete_action) { execute(concrete_action); },
            action);
    }
    publish_view();
    set_timer();
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
                    self->handle_event(e);
                }
            },
            it);
    };
}

void control_plane::execute(replication::read_page const& it)
{
    store_->read_page(it, store_handler());
}

void control_plane::execute(replication::watch const& it)
{
    store_->watch(it, store_handler());
}

void control_plane::execute(replication::send_message const& it)
{
    links_->send(it.link, it.content);
}

void control_plane::execute(replication::deliver_items const& it)
{
    for (auto const& item : it.items)
    {
        apply_item(item);
    }
}

void control_plane::execute(replication::report_store_lost const& it)
{
    store_reachable_ = false;
    core::log_event(
        core::log_level::warning, "store_lost",
        {{"reason", it.reason},
         {"as_of", replicator_.state().as_of().value()},
         {"connection_idle_ms", store_->connection_idle_before_call().count()},
         {"waited_ms", store_->call_duration().count()}});
}

void control_plane::execute(replication::report_store_regained const& it)
{
    store_reachable_ = true;
    auto const unavailable_for = std::chrono::duration_cast<core::milliseconds>(
        core::boot_clock::now() - it.last_available_at);
    core::log_event(core::log_level::info, "store_regained",
                    {{"as_of", replicator_.state().as_of().value()},
                     {"unavailable_ms", unavailable_for.count()}});
    update_directory(membership::store_regained{unavailable_for});
}

void control_plane::execute(replication::report_reading_changed const& it)
{
    core::log_event(
        core::log_level::info, "store_reading_changed",
        {{"reads_store", it.reads_store},
         {"reason", name_of(it.reason)},
         {"as_of", replicator_.state().as_of().value()},
         {"confirmed_ago_ms",
          replicator_.confirmed_ago(core::boot_clock::now()).count()}});
}

void control_plane::apply_item(replication::store_item const& it)
{
    std::visit(core::overloaded{[&](platform::configuration_key const&) {
                                    apply_configuration(it);
                                },
                                [&](platform::worker_key const& key) {
                                    apply_worker_entry(key.id, it);
                                },
                                [&](platform::evacuation_key const& key) {
                                    apply_evacuation(key.data_centre, it);
                                },
                                [](platform::other_key const&) {}},
               platform::parse_key(it.key));
}

std::optional<std::string> control_plane::configuration_in_force() const
{
    auto it = replicator_.state().find(applied_key_);
    if (!it || it->revision != applied_revision_)
    {
        return std::nullopt;
    }
    return std::move(it->value);
}

void control_plane::apply_configuration(replication::store_item const& it)
{
    if (it.deleted)
    {
        // The configuration in force is kept, because there is no newer one to
        // replace it.
        core::log_event(core::log_level::warning, "configuration_deleted",
                        {{"revision", it.revision.value()}});
        return;
    }
    auto decoded = platform::decode_configuration(it.value);
    if (!decoded)
    {
        ++refused_configurations_;
        core::log_event(core::log_level::warning, "configuration_refused",
                        {{"revision", it.revision.value()},
                         {"reason", decoded.error().detail}});
        return;
    }
    auto const current = routes_ ? routes_->source_configuration().version
                                 : core::configuration_version();
    if (decoded->version <= current)
    {
        core::log_event(core::log_level::info, "configuration_is_older",
                        {{"version", decoded->version.value()},
                         {"held", current.value()},
                         {"revision", it.revision.value()}});
        return;
    }
    routes_ = std::make_shared<routing::route_index const>(
        std::make_shared<routing::configuration const>(std::move(*decoded)));
    applied_key_ = it.key;
    applied_revision_ = it.revision;
    applied_at_ = core::boot_clock::now();
    view_outdated_ = true;
    // The worker beside this node may still run calls of an earlier
    // configuration.
    std::set<core::service_name> services{settings_.service};
    for (auto const& [name, service] : routes_->source_configuration().services)
    {
        services.insert(name);
    }
    update_directory(membership::services_named{std::move(services)});
    core::log_event(
        core::log_level::info, "configuration_applied",
        {{"version", routes_->source_configuration().version.value()},
         {"before", current.value()},
         {"revision", it.revision.value()},
         {"confirmed_ago_ms", replicator_.confirmed_ago(applied_at_).count()},
         {"reads_store", replicator_.reads_store()},
         {"routes", routes_->source_configuration().routes.size()}});
    log_unknown_kinds(routes_->source_configuration());
}

void control_plane::apply_worker_entry(core::upstream_id const& id,
                                       replication::store_item const& it)
{
    if (it.deleted)
    {
        core::log_event(
            core::log_level::info, "worker_removed",
            {{"upstream", id.value()}, {"revision", it.revision.value()}});
        update_directory(membership::entry_removed{id});
        return;
    }
    auto entry = platform::decode_worker(id, it.value);
    if (!entry)
    {
        core::log_event(core::log_level::warning, "worker_entry_unreadable",
                        {{"upstream", id.value()},
                         {"revision", it.revision.value()},
                         {"reason", entry.error().detail}});
        update_directory(membership::entry_unreadable{id});
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
    view_outdated_ = view_outdated_ || changes_local_warm_up(*entry);
    update_directory(membership::entry_written{std::move(*entry), it.revision});
}

void control_plane::apply_evacuation(core::data_centre const& data_centre,
                                     replication::store_item const& it)
{
    auto const now = core::boot_clock::now();
    membership::evacuation_event const event =
        it.deleted ? membership::evacuation_event(
                         membership::evacuation_deleted{data_centre})
                   : membership::evacuation_written{data_centre, it.revision};
    if (!evacuations_.handle(event, now))
    {
        return;
    }
    view_outdated_ = true;
    core::log_event(
        core::log_level::info, "evacuation_changed",
        {{"data_centre", data_centre.value()},
         {"evacuated", !it.deleted},
         {"revision", it.revision.value()},
         {"confirmed_ago_ms", replicator_.confirmed_ago(now).count()},
         {"evacuated_data_centres", evacuations_.all().size()}});
}

// The directory ignores changes of the cold time, since all nodes see all
// entries. Only the node beside the worker needs to know of them.
bool control_plane::changes_local_warm_up(
    membership::worker_entry const& entry) const
{
    if (!view_ || !view_->local_service || !view_->local_service->warm_up ||
        entry.address != settings_.worker)
    {
        return false;
    }
    auto const& listed = view_->local_workers;
    auto const found =
        std::find_if(listed.begin(), listed.end(),
                     [&](auto const& it) { return it.id == entry.id; });
    constexpr core::milliseconds none{0};
    return found != listed.end() &&
           (found->cold_remaining > none) != (entry.warm_up_remaining > none);
}

void control_plane::update_directory(membership::directory_event const& it)
{
    view_outdated_ =
        directory_.handle(it, core::boot_clock::now()) || view_outdated_;
}

void control_plane::publish_view()
{
    if (!std::exchange(view_outdated_, false))
    {
        return;
    }
    view_ = traffic_view_builder()
                .routes(routes_)
                .workers(directory_, evacuations_, settings_.traffic.port)
                .local_workers(directory_, evacuations_, settings_.worker)
                .local_service(routes_, settings_.service)
                .suspects(suspects_, core::boot_clock::now())
                .build();
    publish_(view_);
    update_role();
}

void control_plane::update_role()
{
    std::vector<replication::node_location> nodes;
    for (auto const& it : directory_.eligible_workers())
    {
        nodes.push_back(
            {{it.address.address, settings_.control.port}, it.data_centre});
    }
    if (nodes.empty())
    {
        // The connections to the seeds are kept until the list of workers is
        // known.
        return;
    }
    auto const it =
        replication::role_of({settings_.control, settings_.data_centre}, nodes);
    links_->set_sources(it.sources);
    // The event is posted because this function may run while the replicator
    // handles another event.
    boost::asio::post(
        context_, [weak = weak_from_this(), reads = it.reads_store] {
            if (auto const self = weak.lock())
            {
                self->handle_event(replication::role_assigned{reads});
            }
        });
}

void control_plane::check_poison_expiry()
{
    view_outdated_ = view_outdated_ ||
                     (view_ && suspects_.poisoned(core::boot_clock::now()) !=
                                   view_->poisoned);
}

void control_plane::set_timer()
{
    auto const replicator_timer = replicator_.next_timer();
    auto const directory_timer = directory_.next_timer();
    auto const poison_timer = suspects_.next_timer(core::boot_clock::now());
    auto const next_timer =
        std::min({replicator_timer.value_or(core::instant::max()),
                  directory_timer.value_or(core::instant::max()),
                  poison_timer.value_or(core::instant::max())});
    if (next_timer == core::instant::max())
    {
        return;
    }
    // The delay is at least one millisecond, because timers have no finer
    // resolution.
    timer_.expires_after(std::max<core::duration>(
        next_timer - core::boot_clock::now(), core::milliseconds(1)));
    timer_.async_wait(
        [weak = weak_from_this()](boost::system::error_code const& ec) {
            if (auto const self = weak.lock(); self && !ec)
            {
                self->update_directory(membership::timer_expired{});
                self->check_poison_expiry();
                self->handle_event(replication::timer_expired{});
            }
        });
}

} // namespace yuccafall::node
