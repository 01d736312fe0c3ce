// Reads the whole state page by page and then watches the store. The pages are
// not one consistent snapshot, so a watch from the revision of the first page
// returns what changed while the others were read, before the state is used.
// Without that, an item that was written after the first page and deleted
// before its own page was read would get no tombstone, and copies that hold it
// would keep it.
#include "replication/store_reader.hpp"

#include <algorithm>
#include <utility>

namespace yuccafall::replication {

std::vector<reader_action> store_reader::handle(reader_event const& event,
                                                core::instant now)
{
    actions out;
    std::visit([&](auto const& it) { on(it, now, out); }, event);
    return out;
}

void store_reader::record_response(actions& out)
{
    call_in_flight_ = false;
    connection_idle_ = false;
    backoff_ = core::milliseconds(0);
    response_timeout_ = settings_.min_response_timeout;
    if (std::exchange(store_lost_, false))
    {
        out.emplace_back(
            report_store_regained{std::exchange(last_available_at_, {})});
    }
}

void store_reader::start_call(actions& out)
{
    timer_due_.reset();
    if (call_in_flight_ || !enabled_)
    {
        return;
    }
    call_in_flight_ = true;
    call_options const options{response_timeout_, connection_idle_
                                                      ? connection_use::renew
                                                      : connection_use::keep};
    // After a failed call, a watch requests an immediate response. With the
    // usual wait, a store that is reachable again but has no changes would look
    // the same as one that does not respond.
    auto const wait =
        store_lost_ ? core::milliseconds(0) : settings_.watch_wait;
    if (pages_complete_)
    {
        out.emplace_back(watch{read_->complete_to(), wait, options});
        return;
    }
    if (watch_after_.value() == 0)
    {
        out.emplace_back(
            read_page{read_ ? read_->last_key() : std::string(), options});
        return;
    }
    // Changes from other nodes have made the rest of the read unnecessary.
    discard_read();
    out.emplace_back(watch{watch_after_, wait, options});
}

void store_reader::on(page_read const& it, core::instant, actions& out)
{
    record_response(out);
    if (!read_)
    {
        read_.emplace();
    }
    read_->add_page(it.items, it.as_of);
    if (it.truncated && !it.items.empty())
    {
        start_call(out);
        return;
    }
    pages_complete_ = true;
    if (read_->is_exact())
    {
        apply_read(out);
    }
    start_call(out);
}

void store_reader::apply_read(actions& out)
{
    auto changes = read_->to_change_set();
    watch_after_ = std::max(watch_after_, changes.as_of);
    out.emplace_back(apply_changes{std::move(changes)});
    discard_read();
}

void store_reader::discard_read()
{
    read_.reset();
    pages_complete_ = false;
}

// A store that answers from an older copy may not know all changes yet.
void store_reader::complete_read(watch_answered const& it, actions& out)
{
    read_->add_changes(it.items, it.as_of);
    if (read_->is_exact())
    {
        apply_read(out);
    }
    start_call(out);
}

void store_reader::on(watch_answered const& it, core::instant now, actions& out)
{
    record_response(out);
    if (pages_complete_)
    {
        complete_read(it, out);
        return;
    }
    auto const base = watch_after_;
    watch_after_ = std::max(watch_after_, it.as_of);
    if (it.as_of > base)
    {
        // The copy must keep up with the revision also without a change, since
        // the next changes follow this revision.
        out.emplace_back(apply_changes{{base, it.as_of, it.items, {}}});
    }
    if (it.items.empty())
    {
        start_call(out);
        return;
    }
    timer_due_ = now + settings_.batch_delay;
}

void store_reader::on(history_discarded const&, core::instant now, actions& out)
{
    record_response(out);
    if (!pages_complete_)
    {
        watch_after_ = core::revision();
        start_call(out);
        return;
    }
    // What changed between the pages cannot be read. The state is used
    // nevertheless, since the next read may end in the same way. For this
    // reason the next read is delayed.
    apply_read(out);
    watch_after_ = core::revision();
    timer_due_ = now + settings_.batch_delay;
}

// The whole state holds only the newest version of each value.
void store_reader::on(history_too_large const&, core::instant now, actions& out)
{
    on(history_discarded{}, now, out);
}

void store_reader::on(call_failed const& it, core::instant now, actions& out)
{
    call_in_flight_ = false;
    // Complete pages are kept: the watch for the changes between them can be
    // repeated, and a store may answer reads while its watches fail.
    if (!pages_complete_)
    {
        discard_read();
    }
    if (!std::exchange(store_lost_, true))
    {
        out.emplace_back(report_store_lost{it.reason});
        last_available_at_ = it.closed_by_store ? now : core::instant();
    }
    response_timeout_ =
        std::min(response_timeout_ * 2, settings_.max_response_timeout);
    backoff_ =
        std::clamp(backoff_ * 2, settings_.min_backoff, settings_.max_backoff);
    // The delay is half of the backoff plus a random part of up to the
    // whole backoff, so that nodes whose calls failed at the same time do not
    // retry at the same time.
    timer_due_ = now + backoff_ / 2 + random_.up_to(backoff_);
}

void store_reader::on(reader_timer_expired const&, core::instant now,
                      actions& out)
{
    if (timer_due_ && now < *timer_due_)
    {
        return;
    }
    start_call(out);
}

void store_reader::on(revision_advanced const& it, core::instant, actions&)
{
    // A watch in flight may return changes that peers have already delivered.
    // Merging them again has no effect.
    watch_after_ = std::max(watch_after_, it.as_of);
}

void store_reader::on(reading_toggled const& it, core::instant, actions& out)
{
    connection_idle_ = connection_idle_ || (it.enabled && !enabled_);
    enabled_ = it.enabled;
    if (enabled_ && !timer_due_)
    {
        start_call(out);
    }
}

} // namespace yuccafall::replication
