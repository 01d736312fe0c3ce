// Exchanges changes with peers and decides whether this node reads the store.
#include "replication/replicator.hpp"

#include <algorithm>
#include <utility>

#include "core/overloaded.hpp"

namespace yuccafall::replication {

namespace {

// A confirmation is the time at which the store last confirmed, directly or
// through a peer, that the node's copy has the newest revision. The node sends
// a peer a digest for a new confirmation alone only if the confirmation is
// newer by at least this much than the last one that the node announced to its
// peers and than the peer's own. Otherwise one response of the store would
// cross the same links several times.
constexpr core::milliseconds min_confirmation_advance{250};

core::milliseconds to_milliseconds(core::duration it)
{
    return std::chrono::duration_cast<core::milliseconds>(it);
}

} // namespace

replicator::replicator(replicator_settings const& settings, std::uint64_t seed)
    : settings_(settings), reader_(settings.reader, seed), random_(seed),
      assigned_store_reader_(settings.is_seed)
{
    reader_.handle(reading_toggled{false}, core::instant());
}

std::vector<replicator_action> replicator::handle(replicator_event const& event,
                                                  core::instant now)
{
    actions out;
    std::visit([&](auto const& it) { on(it, now, out); }, event);
    return out;
}

std::optional<core::instant> replicator::next_timer() const
{
    auto first = reader_.next_timer();
    auto const take_earlier = [&](core::instant it) {
        first = first ? std::min(*first, it) : it;
    };
    if (start_reading_at_)
    {
        take_earlier(*start_reading_at_);
    }
    else if (!reads_store_)
    {
        take_earlier(confirmed_by_peers_at_ + settings_.staleness_limit);
        if (assigned_store_reader_)
        {
            take_earlier(assigned_store_reader_since_ +
                         settings_.reader_role_delay);
        }
    }
    if (delayed_pull_)
    {
        take_earlier(delayed_pull_->due);
    }
    return first;
}

core::milliseconds replicator::confirmed_ago(core::instant now) const
{
    // Before the first confirmation, confirmed_at_ is the clock's epoch, so the
    // result is the uptime of the machine.
    return to_milliseconds(now - confirmed_at_);
}

digest replicator::own_digest(core::instant now) const
{
    return {state_.as_of(), confirmed_ago(now), settings_.own_data_centre};
}

void replicator::on(started const&, core::instant now, actions& out)
{
    if (settings_.is_seed)
    {
        start_reading_at_ = now;
        update_store_reading(now, out);
        return;
    }
    started_at_ = now;
    start_reading_at_ = now + settings_.initial_peer_wait / 2 +
                        random_.up_to(settings_.initial_peer_wait);
}

void replicator::on(link_opened const& it, core::instant now, actions& out)
{
    peer_state peer;
    peer.advertised = state_.as_of();
    peers_[it.link] = peer;
    if (start_reading_at_ && state_.empty())
    {
        start_reading_at_ = std::max(
            *start_reading_at_, *started_at_ + settings_.connected_peer_wait +
                                    random_.up_to(settings_.initial_peer_wait));
    }
    out.emplace_back(send_message{it.link, own_digest(now)});
}

void replicator::on(link_lost const& it, core::instant, actions&)
{
    peers_.erase(it.link);
}

void replicator::on(message_received const& it, core::instant now, actions& out)
{
    if (peers_.count(it.link) == 0)
    {
        return;
    }
    std::visit([&](auto const& m) { receive(it.link, m, now, out); },
               it.content);
}

void replicator::on(role_assigned const& it, core::instant now, actions& out)
{
    if (it.reads_store && !assigned_store_reader_)
    {
        assigned_store_reader_since_ = now;
    }
    assigned_store_reader_ = it.reads_store;
    update_store_reading(now, out);
}

void replicator::on(timer_expired const&, core::instant now, actions& out)
{
    update_store_reading(now, out);
    send_due_pull(now, out);
    handle_reader_event(reader_timer_expired{}, now, out);
}

void replicator::on(page_read const& it, core::instant now, actions& out)
{
    handle_reader_event(it, now, out);
    if (!reader_.is_reading_whole())
    {
        record_confirmation(now, now, out);
    }
    update_store_reading(now, out);
}

void replicator::on(watch_answered const& it, core::instant now, actions& out)
{
    handle_reader_event(it, now, out);
    if (!reader_.is_reading_whole())
    {
        record_confirmation(now, now, out);
    }
    update_store_reading(now, out);
}

void replicator::on(history_discarded const& it, core::instant now,
                    actions& out)
{
    handle_reader_event(it, now, out);
}

void replicator::on(history_too_large const& it, core::instant now,
                    actions& out)
{
    handle_reader_event(it, now, out);
}

void replicator::on(call_failed const& it, core::instant now, actions& out)
{
    handle_reader_event(it, now, out);
}

void replicator::receive(link_id from, digest const& it, core::instant now,
                         actions& out)
{
    auto& peer = peers_.at(from);
    peer.as_of = it.as_of;
    peer.in_same_data_centre = it.data_centre == settings_.own_data_centre;
    peer.confirmed_at = std::max(peer.confirmed_at, now - it.confirmed_ago);
    if (it.as_of > state_.as_of())
    {
        if (peer.in_same_data_centre || state_.empty())
        {
            out.emplace_back(send_message{from, pull{state_.as_of()}});
            return;
        }
        if (!delayed_pull_)
        {
            delayed_pull_ =
                delayed_pull{now + settings_.pull_delay, from, it.as_of};
        }
        return;
    }
    if (it.as_of < state_.as_of())
    {
        if (peer.in_same_data_centre)
        {
            send_changes(from, it.as_of, now, out);
            return;
        }
        peer.advertised = state_.as_of();
        out.emplace_back(send_message{from, own_digest(now)});
        return;
    }
    if (!state_.empty())
    {
        confirmed_by_peers_at_ =
            std::max(confirmed_by_peers_at_, peer.confirmed_at);
        record_confirmation(peer.confirmed_at, now, out);
        update_store_reading(now, out);
    }
}

void replicator::receive(link_id from, changes const& it, core::instant now,
                         actions& out)
{
    auto& peer = peers_.at(from);
    peer.as_of = it.set.as_of;
    peer.confirmed_at = std::max(peer.confirmed_at, now - it.confirmed_ago);
    if (it.set.base > state_.as_of())
    {
        out.emplace_back(send_message{from, pull{state_.as_of()}});
        return;
    }
    bool const is_newer = it.set.as_of > state_.as_of();
    if (!apply(it.set, out))
    {
        // A compressed item could not be merged, for example a patch against a
        // value that this node does not hold. Request the whole state instead.
        out.emplace_back(send_message{from, pull{core::revision()}});
        return;
    }
    if (state_.as_of() == it.set.as_of)
    {
        confirmed_by_peers_at_ =
            std::max(confirmed_by_peers_at_, peer.confirmed_at);
        confirmed_at_ = std::max(confirmed_at_, peer.confirmed_at);
    }
    if (is_newer)
    {
        handle_reader_event(revision_advanced{state_.as_of()}, now, out);
        notify_peers(from, now, out);
    }
    update_store_reading(now, out);
}

void replicator::receive(link_id from, pull const& it, core::instant now,
                         actions& out)
{
    peers_.at(from).as_of = it.as_of;
    if (it.as_of < state_.as_of())
    {
        send_changes(from, it.as_of, now, out);
    }
}

void replicator::send_changes(link_id to, core::revision base,
                              core::instant now, actions& out)
{
    auto& peer = peers_.at(to);
    peer.as_of = state_.as_of();
    peer.advertised = state_.as_of();
    out.emplace_back(
        send_message{to, changes{state_.since(base), confirmed_ago(now)}});
}

void replicator::send_due_pull(core::instant now, actions& out)
{
    if (!delayed_pull_ || now < delayed_pull_->due)
    {
        return;
    }
    if (state_.as_of() < delayed_pull_->target &&
        peers_.count(delayed_pull_->from) != 0)
    {
        out.emplace_back(
            send_message{delayed_pull_->from, pull{state_.as_of()}});
    }
    delayed_pull_.reset();
}

void replicator::handle_reader_event(reader_event const& event,
                                     core::instant now, actions& out)
{
    for (auto const& it : reader_.handle(event, now))
    {
        std::visit(core::overloaded{
                       [&](apply_changes const& a) {
                           apply(a.changes, out);
                           notify_peers({}, now, out);
                       },
                       [&](report_store_regained const& a) {
                           // Other nodes may have reached the store while
                           // this one did not.
                           out.emplace_back(report_store_regained{
                               std::max(a.last_available_at, confirmed_at_)});
                       },
                       [&](auto const& a) { out.emplace_back(a); }},
                   it);
    }
}

bool replicator::apply(change_set const& it, actions& out)
{
    auto merged = state_.apply(it);
    if (!merged.updates.empty())
    {
        out.emplace_back(deliver_items{std::move(merged.updates)});
    }
    return merged.complete;
}

void replicator::record_confirmation(core::instant confirmed_at,
                                     core::instant now, actions& out)
{
    confirmed_at_ = std::max(confirmed_at_, confirmed_at);
    notify_peers({}, now, out);
}

void replicator::notify_peers(std::optional<link_id> except, core::instant now,
                              actions& out)
{
    if (state_.empty())
    {
        return;
    }
    bool const is_newly_confirmed =
        confirmed_at_ - announced_confirmed_at_ >= min_confirmation_advance;
    for (auto& [link, peer] : peers_)
    {
        if (except && *except == link)
        {
            continue;
        }
        bool const is_behind = peer.as_of && *peer.as_of < state_.as_of();
        if (is_behind && peer.in_same_data_centre)
        {
            send_changes(link, *peer.as_of, now, out);
            continue;
        }
        bool const has_newer_revision = peer.advertised < state_.as_of();
        bool const has_newer_confirmation =
            is_newly_confirmed &&
            confirmed_at_ - peer.confirmed_at >= min_confirmation_advance;
        if (has_newer_revision || has_newer_confirmation)
        {
            peer.advertised = state_.as_of();
            out.emplace_back(send_message{link, own_digest(now)});
        }
    }
    if (is_newly_confirmed)
    {
        announced_confirmed_at_ = confirmed_at_;
    }
}

void replicator::update_store_reading(core::instant now, actions& out)
{
    if (start_reading_at_)
    {
        if (now < *start_reading_at_ && state_.empty())
        {
            return;
        }
        start_reading_at_.reset();
    }
    bool const has_current_peer =
        !state_.empty() &&
        now - confirmed_by_peers_at_ < settings_.staleness_limit;
    bool const is_active_reader =
        assigned_store_reader_ &&
        now - assigned_store_reader_since_ >= settings_.reader_role_delay;
    bool const should_read = is_active_reader || !has_current_peer;
    if (should_read == reads_store_)
    {
        return;
    }
    reads_store_ = should_read;
    auto const reason_to_read = is_active_reader
                                    ? reading_reason::assigned_reader
                                    : reading_reason::unconfirmed_copy;
    out.emplace_back(report_reading_changed{
        should_read,
        should_read ? reason_to_read : reading_reason::confirmed_copy});
    handle_reader_event(reading_toggled{should_read}, now, out);
}

} // namespace yuccafall::replication
