// Opens and accepts control connections, and reopens lost ones to sources.
#include "node/control_links.hpp"

#include <utility>

#include <boost/asio/post.hpp>

#include "core/log.hpp"
#include "core/overloaded.hpp"
#include "poison/codec.hpp"
#include "replication/codec.hpp"

namespace yuccafall::node {

using replication::link_id;

namespace {

// The first byte of a control frame says which component's message follows.
enum class frame_type : char
{
    replication = 1,
    poison = 2,
};

constexpr core::milliseconds connect_timeout{500};
// Delay before the node connects to a source again after a connect operation
// has ended or a connection was lost.
constexpr core::milliseconds reconnect_delay{500};
// A connection without a frame in either direction for this long is closed.
// Sources send a confirmation of their copy about once a second.
constexpr core::milliseconds idle_timeout{6'000};
// A connection whose peer takes no byte of a frame for this long is closed.
constexpr core::milliseconds write_timeout{10'000};

transport::connection_options
link_options(std::shared_ptr<core::memory_part> memory)
{
    transport::connection_options it;
    it.idle_timeout = idle_timeout;
    it.write_timeout = write_timeout;
    it.memory = std::move(memory);
    return it;
}

} // namespace

control_links::control_links(boost::asio::io_context& context,
                             std::shared_ptr<core::memory_part> memory,
                             event_handler on_event,
                             poison_notice_handler on_poison_notice)
    : context_(context), link_options_(link_options(std::move(memory))),
      timer_(context), deferred_(link_options_.memory),
      room_waiter_(link_options_.memory), room_timer_(context),
      on_event_(std::move(on_event)),
      on_poison_notice_(std::move(on_poison_notice))
{}

core::result<void> control_links::listen(core::endpoint const& at)
{
    transport::acceptor_options options;
    options.kind = transport::channel_kind::control;
    options.connection = link_options_;
    auto opened = transport::frame_acceptor::listen(
        context_, at, options,
        [weak = weak_from_this()](
            std::shared_ptr<transport::frame_connection> const& it) {
            auto const self = weak.lock();
            if (self && !self->stopped_)
            {
                self->add_link(it);
            }
        });
    if (!opened)
    {
        return tl::unexpected(opened.error());
    }
    acceptor_ = std::move(*opened);
    return {};
}

void control_links::set_sources(std::set<core::endpoint> const& sources)
{
    for (auto it = sources_.begin(); it != sources_.end();)
    {
        if (sources.count(it->first) != 0)
        {
            ++it;
            continue;
        }
        auto const link = it->second.link;
        it = sources_.erase(it);
        if (auto const found = links_.find(link); found != links_.end())
        {
            found->second->close(
                {core::error_kind::canceled,
                 "the node is no longer a replication source"});
        }
    }
    for (auto const& it : sources)
    {
        sources_.try_emplace(it);
    }
    connect_due_sources();
}

void control_links::connect_due_sources()
{
    if (stopped_ || std::exchange(connecting_due_sources_, true))
    {
        return;
    }
    auto const now = core::boot_clock::now();
    auto next_connect_at = core::instant::max();
    for (auto& [to, it] : sources_)
    {
        if (it.link.value() != 0 || it.connecting)
        {
            continue;
        }
        if (it.next_connect_at <= now)
        {
            it.connecting = true;
            connect(to);
            continue;
        }
        next_connect_at = std::min(next_connect_at, it.next_connect_at);
    }
    connecting_due_sources_ = false;
    if (next_connect_at == core::instant::max())
    {
        return;
    }
    timer_.expires_after(next_connect_at - now);
    timer_.async_wait(
        [weak = weak_from_this()](boost::system::error_code const& ec) {
            if (auto const self = weak.lock(); self && !ec)
            {
                self->connect_due_sources();
            }
        });
}

void control_links::connect(core::endpoint const& to)
{
    transport::frame_connection::connect(
        context_.get_executor(), to, transport::channel_kind::control,
        link_options_, connect_timeout,
        [weak = weak_from_this(),
         to](core::result<std::shared_ptr<transport::frame_connection>> it) {
            auto const self = weak.lock();
            if (!self || self->stopped_)
            {
                return;
            }
            auto const found = self->sources_.find(to);
            if (found == self->sources_.end())
            {
                return;
            }
            found->second.connecting = false;
            found->second.next_connect_at =
                core::boot_clock::now() + reconnect_delay;
            if (it)
            {
                self->on_connected(to, *it);
                return;
            }
            self->connect_due_sources();
        });
}

void control_links::on_connected(
    core::endpoint const& to,
    std::shared_ptr<transport::frame_connection> const& it)
{
    sources_.at(to).link = add_link(it);
}

link_id
control_links::add_link(std::shared_ptr<transport::frame_connection> const& it)
{
    link_id const link(++last_link_id_);
    links_.emplace(link, it);
    it->start({[weak = weak_from_this(), link](std::string const& frame) {
                   if (auto const self = weak.lock())
                   {
                       self->on_frame(link, frame);
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
                       self->on_link_lost(link);
                   }
               }});
    core::log_event(core::log_level::info, "control_link_opened",
                    {{"remote", it->remote()}});
    on_event_(replication::link_opened{link});
    return link;
}

void control_links::on_frame(link_id link, std::string const& frame)
{
    auto const body = std::string_view(frame).substr(1);
    auto const fail = [&](core::error const& reason) {
        links_.at(link)->close(reason);
    };
    switch (static_cast<frame_type>(frame.front()))
    {
    case frame_type::replication: {
        auto message = replication::decode(body);
        if (!message)
        {
            fail(message.error());
            return;
        }
        record_revision(link, *message);
        on_event_(replication::message_received{link, std::move(*message)});
        return;
    }
    case frame_type::poison: {
        auto const notice = poison::decode(body);
        if (!notice)
        {
            fail(notice.error());
            return;
        }
        on_poison_notice_(*notice);
        return;
    }
    }
    fail({core::error_kind::bad_frame, "control frame has an unknown type"});
}

void control_links::send(link_id to, poison::notice const& it)
{
    auto const found = links_.find(to);
    if (found != links_.end())
    {
        found->second->send(static_cast<char>(frame_type::poison) +
                            poison::encode(it));
    }
}

void control_links::broadcast(poison::notice const& it)
{
    for (auto const& [link, connection] : links_)
    {
        connection->send(static_cast<char>(frame_type::poison) +
                         poison::encode(it));
    }
}

void control_links::on_link_lost(link_id link)
{
    links_.erase(link);
    deferred_.remove(link);
    for (auto& [to, it] : sources_)
    {
        if (it.link == link)
        {
            it.link = link_id();
            it.next_connect_at = core::boot_clock::now() + reconnect_delay;
        }
    }
    on_event_(replication::link_lost{link});
    connect_due_sources();
}

void control_links::send(link_id to, replication::message const& it)
{
    auto const found = links_.find(to);
    if (found == links_.end())
    {
        return;
    }
    auto const* set = std::get_if<replication::changes>(&it);
    // The changes that are collected when there is room include these.
    if (set != nullptr && deferred_.is_waiting(to))
    {
        return;
    }
    auto frame =
        static_cast<char>(frame_type::replication) + replication::encode(it);
    core::byte_count const size(frame.size() + transport::frame_header_size);
    if (set != nullptr && size > transport::max_unpaced_message &&
        !deferred_.admit({to, set->set.base, size}, core::boot_clock::now()))
    {
        wait_for_room();
        return;
    }
    found->second->send(std::move(frame));
}

void control_links::record_revision(link_id link,
                                    replication::message const& it)
{
    std::visit(core::overloaded{[&](replication::digest const& m) {
                                    deferred_.set_base(link, m.as_of);
                                },
                                [&](replication::pull const& m) {
                                    deferred_.set_base(link, m.as_of);
                                },
                                [](replication::changes const&) {}},
               it);
}

void control_links::send_deferred_changes()
{
    while (auto const next = deferred_.take_next(core::boot_clock::now()))
    {
        on_event_(replication::message_received{next->link,
                                                replication::pull{next->base}});
    }
    wait_for_room();
}

void control_links::wait_for_room()
{
    auto const needed = deferred_.needed();
    if (stopped_ || !needed)
    {
        return;
    }
    auto const check = [weak = weak_from_this()] {
        if (auto const self = weak.lock(); self && !self->stopped_)
        {
            self->send_deferred_changes();
        }
    };
    room_waiter_.wait_for_room(*needed, [&context = context_, check] {
        boost::asio::post(context, check);
    });
    auto const delay =
        core::slow_check_delay(*link_options_.memory, core::boot_clock::now());
    if (!delay)
    {
        return;
    }
    room_timer_.expires_after(*delay);
    room_timer_.async_wait([check](boost::system::error_code const& ec) {
        if (!ec)
        {
            check();
        }
    });
}

void control_links::stop()
{
    stopped_ = true;
    timer_.cancel();
    room_timer_.cancel();
    room_waiter_.stop_waiting();
    acceptor_->close([] {});
    for (auto const& [link, it] : links_)
    {
        it->close_silently();
    }
    links_.clear();
}

} // namespace yuccafall::node
