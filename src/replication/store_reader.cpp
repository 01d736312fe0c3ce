// Pages are no snapshot: what they show is taken as of the first page, and the
// watch from there repeats whatever changed meanwhile.
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

void store_reader::succeeded(actions& out)
{
    calling_ = false;
    pause_ = core::milliseconds(0);
    if (std::exchange(lost_, false))
    {
        out.emplace_back(report_regained{});
    }
}

void store_reader::call(actions& out)
{
    wake_at_.reset();
    if (calling_ || !reads_)
    {
        return;
    }
    calling_ = true;
    if (after_.value() == 0)
    {
        out.emplace_back(
            read_page{pages_.empty() ? std::string() : pages_.back().key});
        return;
    }
    // A store that has failed is asked to answer at once, so that its return is
    // not mistaken for silence.
    out.emplace_back(
        watch{after_, lost_ ? core::milliseconds(0) : settings_.watch_wait});
}

void store_reader::on(page_read const& it, core::instant, actions& out)
{
    succeeded(out);
    if (!first_page_)
    {
        first_page_ = it.as_of;
    }
    pages_.insert(pages_.end(), it.items.begin(), it.items.end());
    if (it.truncated && !it.items.empty())
    {
        call(out);
        return;
    }
    after_ = *first_page_;
    out.emplace_back(take_changes{
        {core::revision(), after_, std::exchange(pages_, {}), {}}});
    first_page_.reset();
    call(out);
}

void store_reader::on(watch_answered const& it, core::instant now, actions& out)
{
    succeeded(out);
    auto const base = after_;
    after_ = std::max(after_, it.as_of);
    if (it.items.empty())
    {
        call(out);
        return;
    }
    out.emplace_back(take_changes{{base, it.as_of, it.items, {}}});
    wake_at_ = now + settings_.gather;
}

void store_reader::on(history_gone const&, core::instant, actions& out)
{
    succeeded(out);
    after_ = core::revision();
    call(out);
}

void store_reader::on(call_failed const& it, core::instant now, actions& out)
{
    calling_ = false;
    pages_.clear();
    first_page_.reset();
    if (!std::exchange(lost_, true))
    {
        out.emplace_back(report_lost{it.reason});
    }
    pause_ =
        std::clamp(pause_ * 2, settings_.first_pause, settings_.longest_pause);
    // Half of the pause is drawn, so that nodes that failed together do not
    // come back together.
    wake_at_ = now + pause_ / 2 + random_.up_to(pause_);
}

void store_reader::on(wake const&, core::instant now, actions& out)
{
    if (wake_at_ && now < *wake_at_)
    {
        return;
    }
    call(out);
}

void store_reader::on(advanced const& it, core::instant, actions&)
{
    // A watch in flight reports what is known already, which does no harm.
    after_ = std::max(after_, it.as_of);
}

void store_reader::on(duty_changed const& it, core::instant, actions& out)
{
    reads_ = it.reads;
    if (reads_ && !wake_at_)
    {
        call(out);
    }
}

} // namespace yuccafall::replication
