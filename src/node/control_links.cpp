// Opening, accepting and losing control connections.
#include "node/control_links.hpp"

#include <utility>

#include <boost/asio/post.hpp>

#include "core/log.hpp"
#include "poison/codec.hpp"
#include "replication/codec.hpp"

namespace yuccafall::node {

using replication::link_id;

namespace {

// First byte of a control frame: whose message it holds.
enum class frame_of : char
{
    replication = 1,
    poison = 2,
};

constexpr core::milliseconds connect_timeout{500};
// A node that cannot be reached is tried again after this.
constexpr core::milliseconds retry_pause{500};
// Sources confirm what they hold about once a second; a connection without a
// frame in either direction for this long is silent.
constexpr core::milliseconds idle_timeout{6'000};

transport::connection_options link_options()
{
    transport::connection_options it;
    it.idle_timeout = idle_timeout;
    return it;
}

} // namespace

control_links::control_links(boost::asio::io_context& context,
                             event_handler handler, notice_handler notices)
    : context_(context), timer_(context), handler_(std::move(handler)),
      notices_(std::move(notices))
{}

core::result<void> control_links::listen(core::endpoint const& at)
{
    transport::acceptor_options options;
    options.kind = transport::channel_kind::control;
    options.connection = link_options();
    auto opened = transport::frame_acceptor::listen(
        context_, at, options,
        [weak = weak_from_this()](
            std::shared_ptr<transport::frame_connection> const& it) {
            auto const self = weak.lock();
            if (self && !self->stopped_)
            {
                self->adopt(it);
            }
        });
    if (!opened)
    {
        return tl::unexpected(opened.error());
    }
    acceptor_ = std::move(*opened);
    return {};
}

void control_links::want(std::set<core::endpoint> const& nodes)
{
    for (auto it = wanted_.begin(); it != wanted_.end();)
    {
        if (nodes.count(it->first) != 0)
        {
            ++it;
            continue;
        }
        auto const link = it->second.link;
        it = wanted_.erase(it);
        if (auto const found = links_.find(link); found != links_.end())
        {
            found->second->close(
                {core::error_kind::canceled, "not a source any more"});
        }
    }
    for (auto const& it : nodes)
    {
        wanted_.try_emplace(it);
    }
    retry_later();
}

void control_links::retry_later()
{
    if (stopped_ || std::exchange(retrying_, true))
    {
        return;
    }
    auto const now = core::boot_clock::now();
    auto next = core::instant::max();
    for (auto& [to, it] : wanted_)
    {
        if (it.link.value() != 0 || it.connecting)
        {
            continue;
        }
        if (it.next_try <= now)
        {
            it.connecting = true;
            connect(to);
            continue;
        }
        next = std::min(next, it.next_try);
    }
    retrying_ = false;
    if (next == core::instant::max())
    {
        return;
    }
    timer_.expires_after(next - now);
    timer_.async_wait(
        [weak = weak_from_this()](boost::system::error_code const& ec) {
            if (auto const self = weak.lock(); self && !ec)
            {
                self->retry_later();
            }
        });
}

void control_links::connect(core::endpoint const& to)
{
    transport::frame_connection::connect(
        context_.get_executor(), to, transport::channel_kind::control,
        link_options(), connect_timeout,
        [weak = weak_from_this(),
         to](core::result<std::shared_ptr<transport::frame_connection>> it) {
            auto const self = weak.lock();
            if (!self || self->stopped_)
            {
                return;
            }
            auto const found = self->wanted_.find(to);
            if (found == self->wanted_.end())
            {
                return;
            }
            found->second.connecting = false;
            found->second.next_try = core::boot_clock::now() + retry_pause;
            if (it)
            {
                self->connected(to, *it);
                return;
            }
            self->retry_later();
        });
}

void control_links::connected(
    core::endpoint const& to,
    std::shared_ptr<transport::frame_connection> const& it)
{
    wanted_.at(to).link = adopt(it);
}

link_id
control_links::adopt(std::shared_ptr<transport::frame_connection> const& it)
{
    link_id const link(++last_link_);
    links_.emplace(link, it);
    it->start({[weak = weak_from_this(), link](std::string const& frame) {
                   if (auto const self = weak.lock())
                   {
                       self->received(link, frame);
                   }
               },
               nullptr,
               [weak = weak_from_this(), link,
                remote = it->remote()](core::error const& reason) {
                   core::log_event(
                       core::log_level::info, "control_link_lost",
                       {{"remote", remote}, {"reason", reason.detail}});
                   if (auto const self = weak.lock())
                   {
                       self->lost(link);
                   }
               }});
    core::log_event(core::log_level::info, "control_link_opened",
                    {{"remote", it->remote()}});
    handler_(replication::link_opened{link});
    return link;
}

void control_links::received(link_id link, std::string const& frame)
{
    auto const body = std::string_view(frame).substr(1);
    auto const fail = [&](core::error const& why) {
        links_.at(link)->close(why);
    };
    switch (static_cast<frame_of>(frame.front()))
    {
    case frame_of::replication: {
        auto message = replication::decode(body);
        if (!message)
        {
            fail(message.error());
            return;
        }
        handler_(replication::message_received{link, std::move(*message)});
        return;
    }
    case frame_of::poison: {
        auto const notice = poison::decode(body);
        if (!notice)
        {
            fail(notice.error());
            return;
        }
        notices_(*notice);
        return;
    }
    }
    fail({core::error_kind::bad_frame, "frame of an unknown slice"});
}

void control_links::send(link_id to, poison::crash_notice const& it)
{
    auto const found = links_.find(to);
    if (found != links_.end())
    {
        found->second->send(static_cast<char>(frame_of::poison) +
                            poison::encode(it));
    }
}

void control_links::flood(poison::crash_notice const& it)
{
    for (auto const& [link, connection] : links_)
    {
        connection->send(static_cast<char>(frame_of::poison) +
                         poison::encode(it));
    }
}

void control_links::lost(link_id gone)
{
    links_.erase(gone);
    for (auto& [to, it] : wanted_)
    {
        if (it.link == gone)
        {
            it.link = link_id();
            it.next_try = core::boot_clock::now() + retry_pause;
        }
    }
    handler_(replication::link_lost{gone});
    retry_later();
}

void control_links::send(link_id to, replication::message const& it)
{
    auto const found = links_.find(to);
    if (found != links_.end())
    {
        found->second->send(static_cast<char>(frame_of::replication) +
                            replication::encode(it));
    }
}

void control_links::stop()
{
    stopped_ = true;
    timer_.cancel();
    acceptor_->close([] {});
    for (auto const& [link, it] : links_)
    {
        it->close_silently();
    }
    links_.clear();
}

} // namespace yuccafall::node
