// Implements the rules for when a load report is sent.
#include "upstream/load_publisher.hpp"

#include <utility>

#include "peers/messages.hpp"

namespace yuccafall::upstream {

namespace {

// Load reports are sent at least this far apart, to bound the processor time
// that they take at the receivers.
constexpr core::milliseconds min_interval{50};
// A session receives load reports until this long after its most recent offer.
constexpr core::milliseconds subscription_time{3'000};
// A worker with more free slots than this is not nearly full.
constexpr std::uint32_t nearly_full_margin = 2;

std::uint32_t open_calls(balancing::load_report const& it)
{
    return it.running.value() + it.waiting.value();
}

// A worker that limits its rate, or that is or may be cold, may have free slots
// that no call can use.
bool is_nearly_full(balancing::load_report const& it)
{
    return open_calls(it) + nearly_full_margin >= it.slots.value() ||
           core::limit_of(it.rate) || core::limit_of(it.cold_rate);
}

bool differ(balancing::load_report const& a, balancing::load_report const& b)
{
    return open_calls(a) != open_calls(b) ||
           core::limit_of(a.cold_rate) != core::limit_of(b.cold_rate);
}

} // namespace

load_publisher::load_publisher(boost::asio::io_context& context,
                               load_function load)
    : load_(std::move(load)), timer_(context)
{}

void load_publisher::subscribe(peers::session_id session,
                               peers::reply_function send,
                               core::upstream_id const& upstream,
                               core::instant now)
{
    subscribers_[session] = {std::move(send), upstream, now};
}

void load_publisher::unsubscribe(peers::session_id session)
{
    subscribers_.erase(session);
}

// Sends nothing if the worker was not nearly full at the last report and is not
// now, since its exact load then affects no choice of an upstream.
void load_publisher::publish()
{
    auto const now = core::boot_clock::now();
    auto const current = load_();
    if (scheduled_ || !differ(current, last_sent_) ||
        (!is_nearly_full(current) && !is_nearly_full(last_sent_)))
    {
        return;
    }
    if (now - last_sent_at_ < min_interval)
    {
        schedule(min_interval - (now - last_sent_at_));
        return;
    }
    last_sent_ = current;
    last_sent_at_ = now;
    for (auto to = subscribers_.begin(); to != subscribers_.end();)
    {
        if (now - to->second.last_offer > subscription_time)
        {
            to = subscribers_.erase(to);
            continue;
        }
        to->second.send(peers::load_update{to->second.upstream, current});
        ++to;
    }
}

void load_publisher::schedule(core::duration delay)
{
    scheduled_ = true;
    timer_.expires_after(delay);
    timer_.async_wait(
        [weak = weak_from_this()](boost::system::error_code const& ec) {
            if (auto const self = weak.lock(); self && !ec)
            {
                self->scheduled_ = false;
                self->publish();
            }
        });
}

void load_publisher::close()
{
    timer_.cancel();
}

} // namespace yuccafall::upstream
