// A simulated mesh of nodes for the tests of the replicator.
#ifndef YUCCAFALL_REPLICATION_TESTS_SIMULATED_MESH_HPP
#define YUCCAFALL_REPLICATION_TESTS_SIMULATED_MESH_HPP

#include <algorithm>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <fmt/format.h>
#include <rapidcheck/catch.h>

#include "core/random.hpp"
#include "replication/replicator.hpp"
#include "replication/tests/sample_items.hpp"
#include "replication/topology.hpp"

namespace yuccafall::replication {

using core::milliseconds;

inline core::instant at(long ms)
{
    return core::instant(std::chrono::hours(1)) + milliseconds(ms);
}

// Simulates a mesh of nodes that run the real replicator, a store that keeps
// its history, and store connections that can be cut. Time advances from event
// to event.
class simulated_mesh
{
public:
    simulated_mesh(std::size_t data_centres, std::size_t per_data_centre,
                   std::uint64_t seed)
        : random_(seed)
    {
        for (std::size_t d = 0; d < data_centres; ++d)
        {
            for (std::size_t n = 0; n < per_data_centre; ++n)
            {
                node_location it;
                it.control.address =
                    core::ip_address(fmt::format("10.{}.0.{}", d, n + 1));
                it.control.port = core::port_number(1);
                it.data_centre = core::data_centre(fmt::format("dc-{}", d));
                locations_.push_back(std::move(it));
            }
        }
        for (std::size_t i = 0; i < locations_.size(); ++i)
        {
            nodes_.push_back(make_node(i, seed + i));
            processes_.push_back(0);
            store_cut_.push_back(false);
            store_silent_.push_back(false);
            pending_watches_.emplace_back();
            last_revisions_.push_back(0);
            delivered_.emplace_back();
        }
        write();
        for (std::size_t i = 0; i < nodes_.size(); ++i)
        {
            start(i);
        }
    }

    // Writes one of a few keys.
    void write()
    {
        put(std::string(1, static_cast<char>('a' + random_.below(4))));
    }

    void put(std::string const& key)
    {
        auto it = written_item(key, revision_ + 1);
        if (is_large(key))
        {
            it.value.append(large_size, 'x');
        }
        newest_items_[key] = it.value;
        change(std::move(it));
    }

    void erase(std::string const& key)
    {
        newest_items_.erase(key);
        change(deleted_item(key, revision_ + 1));
    }

    // Ends the node's process and starts another one, which knows nothing. The
    // links to the node are lost and opened again.
    void restart(std::size_t node)
    {
        ++processes_[node];
        nodes_[node] = make_node(node, random_.next());
        last_revisions_[node] = 0;
        delivered_[node].clear();
        pending_watches_[node].reset();
        watch_serials_[node] = ++last_watch_serial_;
        close_links(node);
        start(node);
    }

    void cut_store(std::size_t node, bool cut) { store_cut_[node] = cut; }

    // From now on all connections that are open, between nodes and to the
    // store, carry nothing. New ones work.
    void silence_connections()
    {
        std::fill(store_silent_.begin(), store_silent_.end(), true);
        silence_links(100);
    }

    // From now on this part of the open connections between nodes carries
    // nothing in either direction.
    void silence_links(std::uint64_t percent)
    {
        for (auto const& [link, opener] : link_openers_)
        {
            if (random_.below(100) < percent)
            {
                silent_links_.insert({opener, link});
                silent_links_.insert({link_peers_.at({opener, link}), link});
            }
        }
    }

    // Runs all events that are due up to `ms`.
    void run_until(long ms)
    {
        while (!events_.empty() && events_.begin()->first <= at(ms))
        {
            auto const it = events_.begin();
            now_ = it->first;
            auto const run = std::move(it->second);
            events_.erase(it);
            run();
        }
        now_ = at(ms);
    }

    std::size_t size() const { return nodes_.size(); }
    std::uint64_t revision() const { return revision_; }
    std::uint64_t revision_of(std::size_t node) const
    {
        return nodes_[node].state().as_of().value();
    }
    std::uint64_t store_calls() const { return store_calls_; }
    // Returns whether the newest value of each key was delivered to the node.
    bool is_current(std::size_t node) const
    {
        return delivered_[node] == newest_items_;
    }
    // Returns whether the node holds an item with the key.
    bool holds(std::size_t node, std::string const& key) const
    {
        return delivered_[node].count(key) != 0;
    }

private:
    static constexpr std::size_t large_size = 10'000;
    // One of the keys has values large enough to be sent as patches.
    static bool is_large(std::string const& key) { return key == "a"; }

    using event_handler = std::function<void()>;

    replicator make_node(std::size_t node, std::uint64_t seed) const
    {
        replicator_settings settings;
        settings.own_data_centre = locations_[node].data_centre;
        return replicator(settings, seed);
    }

    void start(std::size_t node)
    {
        dispatch(node, started{});
        auto const role = role_of(locations_[node], locations_);
        dispatch(node, role_assigned{role.reads_store});
        for (std::size_t j = 0; j < nodes_.size(); ++j)
        {
            if (role.sources.count(locations_[j].control) != 0)
            {
                open_link(node, j);
            }
        }
    }

    void change(store_item it)
    {
        ++revision_;
        history_.push_back(std::move(it));
        for (std::size_t i = 0; i < nodes_.size(); ++i)
        {
            answer_watch(i, false);
        }
    }

    void close_links(std::size_t node)
    {
        std::map<link_id, std::size_t> peers;
        for (auto const& [end, peer] : link_peers_)
        {
            if (end.first == node)
            {
                peers.emplace(end.second, peer);
            }
        }
        for (auto const& [link, peer] : peers)
        {
            link_peers_.erase({node, link});
            link_peers_.erase({peer, link});
            dispatch(peer, link_lost{link});
            if (link_openers_.at(link) == peer)
            {
                schedule(milliseconds(500),
                         [this, a = peer, node] { open_link(a, node); });
            }
            link_openers_.erase(link);
        }
    }

    void schedule(milliseconds delay, event_handler it)
    {
        events_.emplace(now_ + delay, std::move(it));
    }

    // The store responds, unless the node's process has ended or its connection
    // to the store is cut by then.
    void schedule_response(std::size_t node, event_handler respond)
    {
        schedule(milliseconds(4), [this, node, respond = std::move(respond),
                                   process = processes_[node]] {
            if (processes_[node] != process)
            {
                return;
            }
            if (store_cut_[node])
            {
                dispatch(node, call_failed{"cut"});
                return;
            }
            respond();
        });
    }

    void open_link(std::size_t a, std::size_t b)
    {
        link_id const link(++last_link_id_);
        link_openers_[link] = a;
        link_peers_[{a, link}] = b;
        link_peers_[{b, link}] = a;
        dispatch(a, link_opened{link});
        dispatch(b, link_opened{link});
    }

    void dispatch(std::size_t node, replicator_event const& it)
    {
        auto const actions = nodes_[node].handle(it, now_);
        for (auto const& a : actions)
        {
            std::visit([&](auto const& what) { execute(node, what); }, a);
        }
        auto const revision_now = revision_of(node);
        RC_ASSERT(revision_now >= last_revisions_[node]);
        last_revisions_[node] = revision_now;
        if (auto const due = nodes_[node].next_timer())
        {
            auto const delay =
                std::max<core::duration>(*due - now_, milliseconds(1));
            if (timers_.emplace(node, now_ + delay).second)
            {
                events_.emplace(now_ + delay,
                                [this, node, when = now_ + delay] {
                                    timers_.erase({node, when});
                                    dispatch(node, timer_expired{});
                                });
            }
        }
    }

    // The kernel closes a silent connection two seconds after the first message
    // on it that is not acknowledged, and the node that opened it connects
    // again after half a second.
    void lose_silent_link(std::size_t node, link_id link)
    {
        if (!failing_links_.insert({node, link}).second)
        {
            return;
        }
        schedule(milliseconds(2'000), [this, node, link] {
            auto const peer = link_peers_.at({node, link});
            dispatch(node, link_lost{link});
            if (link_openers_.at(link) == node)
            {
                schedule(milliseconds(500),
                         [this, node, peer] { open_link(node, peer); });
            }
        });
    }

    // Returns false if the call gets no response because its connection is
    // silent. The client opens a new connection after such a call.
    bool connection_works(std::size_t node, milliseconds wait,
                          call_options const& options)
    {
        if (options.connection == connection_use::renew)
        {
            store_silent_[node] = false;
        }
        if (!store_silent_[node])
        {
            return true;
        }
        schedule(wait + options.response_timeout, [this, node] {
            store_silent_[node] = false;
            dispatch(node, call_failed{"silent"});
        });
        return false;
    }

    void execute(std::size_t node, send_message const& it)
    {
        if (silent_links_.count({node, it.link}) != 0)
        {
            lose_silent_link(node, it.link);
            return;
        }
        auto const to = link_peers_.at({node, it.link});
        schedule(milliseconds(1 + static_cast<long>(random_.below(8))),
                 [this, to, it] {
                     if (link_peers_.count({to, it.link}) != 0)
                     {
                         dispatch(to, message_received{it.link, it.content});
                     }
                 });
    }
    void execute(std::size_t node, read_page const& it)
    {
        ++store_calls_;
        if (!connection_works(node, milliseconds(0), it.options))
        {
            return;
        }
        schedule_response(node, [this, node] {
            std::map<std::string, store_item> newest;
            for (auto const& i : history_)
            {
                newest[i.key] = i;
            }
            page_read page;
            for (auto const& [key, i] : newest)
            {
                if (!i.deleted)
                {
                    page.items.push_back(i);
                }
            }
            page.as_of = core::revision(revision_);
            dispatch(node, page);
        });
    }
    void execute(std::size_t node, watch const& it)
    {
        ++store_calls_;
        if (!connection_works(node, it.wait, it.options))
        {
            return;
        }
        pending_watches_[node] = it.after;
        auto const serial = ++last_watch_serial_;
        watch_serials_[node] = serial;
        answer_watch(node, false);
        schedule(it.wait + milliseconds(5), [this, node, serial] {
            if (watch_serials_[node] == serial && !store_silent_[node])
            {
                answer_watch(node, true);
            }
        });
        schedule(it.wait + it.options.response_timeout, [this, node, serial] {
            if (watch_serials_[node] == serial && store_silent_[node])
            {
                store_silent_[node] = false;
                pending_watches_[node].reset();
                dispatch(node, call_failed{"silent"});
            }
        });
    }
    void execute(std::size_t node, deliver_items const& it)
    {
        for (auto const& i : it.items)
        {
            if (i.deleted)
            {
                delivered_[node].erase(i.key);
                continue;
            }
            delivered_[node][i.key] = i.value;
        }
    }
    void execute(std::size_t, report_store_lost const&) {}
    void execute(std::size_t, report_store_regained const&) {}
    void execute(std::size_t, report_reading_changed const&) {}

    void answer_watch(std::size_t node, bool timed_out)
    {
        if (!pending_watches_[node] || store_silent_[node])
        {
            return;
        }
        auto const after = *pending_watches_[node];
        std::vector<store_item> updates;
        for (auto const& i : history_)
        {
            if (i.revision > after)
            {
                updates.push_back(i);
            }
        }
        if (store_cut_[node] ? !timed_out : (updates.empty() && !timed_out))
        {
            return;
        }
        pending_watches_[node].reset();
        schedule_response(
            node, [this, node, updates, as_of = core::revision(revision_)] {
                dispatch(node, watch_answered{updates, as_of});
            });
    }

    core::random_source random_;
    std::vector<node_location> locations_;
    std::vector<replicator> nodes_;
    // The number of restarts of each node.
    std::vector<std::uint64_t> processes_;
    std::vector<bool> store_cut_;
    // True while a node's connection to the store is open and silent.
    std::vector<bool> store_silent_;
    // The ends of links that are silent, and those of them that have sent a
    // message since.
    std::set<std::pair<std::size_t, link_id>> silent_links_;
    std::set<std::pair<std::size_t, link_id>> failing_links_;
    std::map<link_id, std::size_t> link_openers_;
    std::vector<std::optional<core::revision>> pending_watches_;
    std::map<std::size_t, std::uint64_t> watch_serials_;
    std::vector<std::uint64_t> last_revisions_;
    std::map<std::pair<std::size_t, link_id>, std::size_t> link_peers_;
    std::multimap<core::instant, event_handler> events_;
    std::set<std::pair<std::size_t, core::instant>> timers_;
    std::vector<store_item> history_;
    std::map<std::string, std::string> newest_items_;
    // The values that were delivered to each node, by key.
    std::vector<std::map<std::string, std::string>> delivered_;
    std::uint64_t revision_ = 0;
    std::uint64_t last_link_id_ = 0;
    std::uint64_t last_watch_serial_ = 0;
    std::uint64_t store_calls_ = 0;
    core::instant now_ = at(0);
};

} // namespace yuccafall::replication

#endif
