// Exchange with peers, and the decision to read the store.
#include "replication/replicator.hpp"

#include <algorithm>
#include <utility>

#include "core/overloaded.hpp"

namespace yuccafall::replication {

namespace {

// Peers are told of a confirmation only where it is newer by this; one answer
// of the store would otherwise pass through the same links several times.
constexpr core::milliseconds worth_telling{250};

core::milliseconds whole_milliseconds(core::duration it)
{
    return std::chrono::duration_cast<core::milliseconds>(it);
}

} // namespace

replicator::replicator(replicator_settings const& settings, std::uint64_t seed)
    : settings_(settings), reader_(settings.reader, seed), random_(seed),
      assigned_(settings.is_seed)
{
    reader_.handle(duty_changed{false}, core::instant());
}

std::vector<replicator_action> replicator::handle(replicator_event const& event,
                                                  core::instant now)
{
    actions out;
    std::visit([&](auto const& it) { on(it, now, out); }, event);
    return out;
}

std::optional<core::instant> replicator::next_wake() const
{
    auto first = reader_.next_wake();
    auto const consider = [&](core::instant it) {
        first = first ? std::min(*first, it) : it;
    };
    if (start_reading_at_)
    {
        consider(*start_reading_at_);
    }
    else if (!reading_)
    {
        consider(confirmed_by_peers_ + settings_.stale_after);
        if (assigned_)
        {
            consider(assigned_since_ + settings_.duty_settles);
        }
    }
    if (pull_)
    {
        consider(pull_->due);
    }
    return first;
}

core::milliseconds replicator::confirmed_ago(core::instant now) const
{
    // Before the first confirmation the age is that of the machine.
    return whole_milliseconds(now - confirmed_);
}

digest replicator::own_digest(core::instant now) const
{
    return {state_.as_of(), confirmed_ago(now), settings_.own};
}

void replicator::on(started const&, core::instant now, actions& out)
{
    if (settings_.is_seed)
    {
        start_reading_at_ = now;
        consider_duty(now, out);
        return;
    }
    started_ = now;
    start_reading_at_ = now + settings_.start_patience / 2 +
                        random_.up_to(settings_.start_patience);
}

void replicator::on(link_opened const& it, core::instant now, actions& out)
{
    peer_state opened;
    opened.told = state_.as_of();
    links_[it.link] = opened;
    if (start_reading_at_ && state_.empty())
    {
        start_reading_at_ = std::max(
            *start_reading_at_, *started_ + settings_.connected_patience +
                                    random_.up_to(settings_.start_patience));
    }
    out.emplace_back(send_message{it.link, own_digest(now)});
}

void replicator::on(link_lost const& it, core::instant, actions&)
{
    links_.erase(it.link);
}

void replicator::on(message_received const& it, core::instant now, actions& out)
{
    if (links_.count(it.link) == 0)
    {
        return;
    }
    std::visit([&](auto const& m) { receive(it.link, m, now, out); },
               it.content);
}

void replicator::on(duty_assigned const& it, core::instant now, actions& out)
{
    if (it.reads_store && !assigned_)
    {
        assigned_since_ = now;
    }
    assigned_ = it.reads_store;
    consider_duty(now, out);
}

void replicator::on(clock_moved const&, core::instant now, actions& out)
{
    consider_duty(now, out);
    consider_pull(now, out);
    ask_reader(wake{}, now, out);
}

void replicator::on(page_read const& it, core::instant now, actions& out)
{
    ask_reader(it, now, out);
    if (!it.truncated)
    {
        confirm(now, now, out);
    }
    consider_duty(now, out);
}

void replicator::on(watch_answered const& it, core::instant now, actions& out)
{
    ask_reader(it, now, out);
    confirm(now, now, out);
    consider_duty(now, out);
}

void replicator::on(history_gone const& it, core::instant now, actions& out)
{
    ask_reader(it, now, out);
}

void replicator::on(call_failed const& it, core::instant now, actions& out)
{
    ask_reader(it, now, out);
}

void replicator::receive(link_id from, digest const& it, core::instant now,
                         actions& out)
{
    auto& peer = links_.at(from);
    peer.as_of = it.as_of;
    peer.is_near = it.data_centre == settings_.own;
    peer.confirmed = std::max(peer.confirmed, now - it.confirmed_ago);
    if (it.as_of > state_.as_of())
    {
        if (peer.is_near || state_.empty())
        {
            out.emplace_back(send_message{from, pull{state_.as_of()}});
            return;
        }
        if (!pull_)
        {
            pull_ = delayed_pull{now + settings_.pull_after, from, it.as_of};
        }
        return;
    }
    if (it.as_of < state_.as_of())
    {
        if (peer.is_near)
        {
            send_changes(from, it.as_of, now, out);
            return;
        }
        peer.told = state_.as_of();
        out.emplace_back(send_message{from, own_digest(now)});
        return;
    }
    if (!state_.empty())
    {
        confirmed_by_peers_ = std::max(confirmed_by_peers_, peer.confirmed);
        confirm(peer.confirmed, now, out);
        consider_duty(now, out);
    }
}

void replicator::receive(link_id from, changes const& it, core::instant now,
                         actions& out)
{
    auto& peer = links_.at(from);
    peer.as_of = it.set.as_of;
    peer.confirmed = std::max(peer.confirmed, now - it.confirmed_ago);
    if (it.set.base > state_.as_of())
    {
        out.emplace_back(send_message{from, pull{state_.as_of()}});
        return;
    }
    bool const is_news = it.set.as_of > state_.as_of();
    if (!apply(it.set, out))
    {
        // A patch of a value that is not held here: the whole state serves.
        out.emplace_back(send_message{from, pull{core::revision()}});
        return;
    }
    if (state_.as_of() == it.set.as_of)
    {
        confirmed_by_peers_ = std::max(confirmed_by_peers_, peer.confirmed);
        confirmed_ = std::max(confirmed_, peer.confirmed);
    }
    if (is_news)
    {
        ask_reader(advanced{state_.as_of()}, now, out);
        tell_peers(from, now, out);
    }
    consider_duty(now, out);
}

void replicator::receive(link_id from, pull const& it, core::instant now,
                         actions& out)
{
    links_.at(from).as_of = it.as_of;
    if (it.as_of < state_.as_of())
    {
        send_changes(from, it.as_of, now, out);
    }
}

void replicator::send_changes(link_id to, core::revision base,
                              core::instant now, actions& out)
{
    auto& peer = links_.at(to);
    peer.as_of = state_.as_of();
    peer.told = state_.as_of();
    out.emplace_back(
        send_message{to, changes{state_.since(base), confirmed_ago(now)}});
}

void replicator::consider_pull(core::instant now, actions& out)
{
    if (!pull_ || now < pull_->due)
    {
        return;
    }
    if (state_.as_of() < pull_->until && links_.count(pull_->from) != 0)
    {
        out.emplace_back(send_message{pull_->from, pull{state_.as_of()}});
    }
    pull_.reset();
}

void replicator::ask_reader(reader_event const& event, core::instant now,
                            actions& out)
{
    for (auto const& it : reader_.handle(event, now))
    {
        std::visit(
            core::overloaded{[&](take_changes const& a) {
                                 apply(a.changes, out);
                                 tell_peers({}, now, out);
                             },
                             [&](auto const& a) { out.emplace_back(a); }},
            it);
    }
}

bool replicator::apply(change_set const& it, actions& out)
{
    auto merged = state_.apply(it);
    if (!merged.news.empty())
    {
        out.emplace_back(take_items{std::move(merged.news)});
    }
    return merged.complete;
}

void replicator::confirm(core::instant when, core::instant now, actions& out)
{
    confirmed_ = std::max(confirmed_, when);
    tell_peers({}, now, out);
}

void replicator::tell_peers(std::optional<link_id> except, core::instant now,
                            actions& out)
{
    if (state_.empty())
    {
        return;
    }
    bool const is_confirmed_anew = confirmed_ - told_ >= worth_telling;
    for (auto& [link, peer] : links_)
    {
        if (except && *except == link)
        {
            continue;
        }
        bool const is_behind = peer.as_of && *peer.as_of < state_.as_of();
        if (is_behind && peer.is_near)
        {
            send_changes(link, *peer.as_of, now, out);
            continue;
        }
        bool const has_news = peer.told < state_.as_of();
        bool const has_confirmation =
            is_confirmed_anew && confirmed_ - peer.confirmed >= worth_telling;
        if (has_news || has_confirmation)
        {
            peer.told = state_.as_of();
            out.emplace_back(send_message{link, own_digest(now)});
        }
    }
    if (is_confirmed_anew)
    {
        told_ = confirmed_;
    }
}

void replicator::consider_duty(core::instant now, actions& out)
{
    if (start_reading_at_)
    {
        if (now < *start_reading_at_ && state_.empty())
        {
            return;
        }
        start_reading_at_.reset();
    }
    bool const fed =
        !state_.empty() && now - confirmed_by_peers_ < settings_.stale_after;
    bool const is_settled =
        assigned_ && now - assigned_since_ >= settings_.duty_settles;
    bool const wanted = is_settled || !fed;
    if (wanted == reading_)
    {
        return;
    }
    reading_ = wanted;
    ask_reader(duty_changed{wanted}, now, out);
}

} // namespace yuccafall::replication
