// Reads the whole state page by page and then watches the store. The pages are
// not one consistent snapshot: the combined state gets the revision of the
// first page, and the watch from that revision returns again what changed while
// the other pages were read.
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
    if (watch_after_.value() == 0)
    {
        out.emplace_back(read_page{
            partial_items_.empty() ? std::string() : partial_items_.back().key,
            options});
        return;
    }
    // After a failed call, the watch requests an immediate response. With the
    // usual wait, a store that is reachable again but has no changes would look
    // the same as one that does not respond.
    auto const wait =
        store_lost_ ? core::milliseconds(0) : settings_.watch_wait;
    out.emplace_back(watch{watch_after_, wait, options});
}

void store_reader::on(page_read const& it, core::instant, actions& out)
{
    record_response(out);
    if (!first_page_revision_)
    {
        first_page_revision_ = it.as_of;
    }
    partial_items_.insert(partial_items_.end(), it.items.begin(),
                          it.items.end());
    if (it.truncated && !it.items.empty())
    {
        start_call(out);
        return;
    }
    watch_after_ = *first_page_revision_;
    out.emplace_back(apply_changes{{core::revision(),
                                    watch_after_,
                                    std::exchange(partial_items_, {}),
                                    {}}});
    first_page_revision_.reset();
    start_call(out);
}

void store_reader::on(watch_answered const& it, core::instant now, actions& out)
{
    record_response(out);
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

void store_reader::on(history_discarded const&, core::instant, actions& out)
{
    record_response(out);
    watch_after_ = core::revision();
    start_call(out);
}

// The whole state holds only the newest version of each value.
void store_reader::on(history_too_large const&, core::instant now, actions& out)
{
    on(history_discarded{}, now, out);
}

void store_reader::on(call_failed const& it, core::instant now, actions& out)
{
    call_in_flight_ = false;
    partial_items_.clear();
    first_page_revision_.reset();
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
