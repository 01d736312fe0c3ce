// Messages are queued in their link until it is connected. Each link sends the
// pings and closes its connection after the liveness timeout; node_liveness
// decides whether the node is unresponsive.
#include "peers/peer_links.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

#include <boost/asio/post.hpp>

#include "core/log.hpp"
#include "core/overloaded.hpp"
#include "peers/codec.hpp"

namespace yuccafall::peers {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

core::call_id call_of(message const& it)
{
    return std::visit(
        core::overloaded{[](load_update const&) { return core::call_id{}; },
                         [](ping const&) { return core::call_id{}; },
                         [](pong const&) { return core::call_id{}; },
                         [](auto const& m) { return m.call; }},
        it);
}

} // namespace

class peer_links::link : public std::enable_shared_from_this<link>
{
public:
    struct owner_handlers
    {
        load_handler load;
        liveness_handler liveness;
        // Called when this link sends a ping because nothing has arrived.
        std::function<void()> pinged;
    };

    link(asio::io_context& context, link_key to, peer_link_settings settings,
         std::shared_ptr<node_liveness> node, owner_handlers owner)
        : context_(context), liveness_timer_(context), key_(std::move(to)),
          settings_(std::move(settings)), node_(std::move(node)),
          owner_(std::move(owner))
    {}

    void connect()
    {
        transport::connection_options options;
        options.idle_timeout = settings_.idle_timeout;
        options.link = settings_.link;
        options.memory = settings_.frame_memory;
        options.write_timeout = settings_.write_timeout;
        transport::frame_connection::connect(
            context_.get_executor(), key_.node,
            transport::channel_kind::traffic, options,
            settings_.connect_timeout,
            [self = shared_from_this()](
                core::result<std::shared_ptr<transport::frame_connection>> it) {
                if (!it)
                {
                    self->handle_disconnect(it.error().detail);
                    return;
                }
                self->handle_connect(std::move(*it));
            });
    }

    void open(core::call_id const& call, call_handlers handlers)
    {
        auto const now = core::boot_clock::now();
        // The time without a byte goes on while a ping is unanswered.
        bool const silent = check_scheduled_ && last_ping_ > last_received();
        if (calls_.empty() && !silent)
        {
            last_received_ = now;
        }
        if (calls_.emplace(call, open_call{std::move(handlers)}).second)
        {
            node_->record_call_opened(now);
        }
        schedule_liveness_check(settings_.ping_delay);
    }

    void send_ping()
    {
        if (connection_)
        {
            connection_->send(encode(ping{}));
        }
    }

    void send(message const& it)
    {
        auto frame = encode(it);
        if (!connection_)
        {
            queued_frames_.emplace_back(call_of(it), std::move(frame));
            return;
        }
        transmit(call_of(it), std::move(frame));
    }

    void close(core::call_id const& call)
    {
        if (calls_.erase(call) != 0)
        {
            node_->record_call_closed();
        }
    }

    bool is_broken() const { return broken_; }

    void shut_down()
    {
        broken_ = true;
        calls_.clear();
        liveness_timer_.cancel();
        if (connection_)
        {
            connection_->close_silently();
        }
    }

private:
    struct open_call
    {
        call_handlers handlers;
        bool sent = false;
    };

    void handle_connect(std::shared_ptr<transport::frame_connection> connection)
    {
        if (broken_)
        {
            connection->close_silently();
            return;
        }
        connection_ = std::move(connection);
        record_received(core::boot_clock::now());
        connection_->start(
            {[self = shared_from_this()](std::string const& frame) {
                 self->handle_frame(frame);
             },
             nullptr,
             [self = shared_from_this()](core::error const& reason) {
                 self->handle_disconnect(reason.detail);
             }});
        for (auto& [call, frame] : std::exchange(queued_frames_, {}))
        {
            // A message is dropped if its call was closed while it was queued.
            if (calls_.count(call) != 0)
            {
                transmit(call, std::move(frame));
            }
        }
    }

    void transmit(core::call_id const& call, std::string frame)
    {
        auto const found = calls_.find(call);
        if (found != calls_.end())
        {
            found->second.sent = true;
        }
        connection_->send(std::move(frame));
    }

    void handle_frame(std::string const& frame)
    {
        record_received(core::boot_clock::now());
        auto it = decode(frame);
        if (!it)
        {
            connection_->close(it.error());
            return;
        }
        if (std::holds_alternative<ping>(*it))
        {
            connection_->send(encode(pong{}));
            return;
        }
        if (auto const* update = std::get_if<load_update>(&*it))
        {
            if (owner_.load)
            {
                owner_.load(update->upstream, update->load);
            }
            return;
        }
        auto const found = calls_.find(call_of(*it));
        if (found != calls_.end())
        {
            // The handler is copied because it may close the call, which
            // destroys the original.
            auto const handler = found->second.handlers.received;
            handler(std::move(*it));
        }
    }

    // Returns when bytes last arrived. A long frame may take longer to arrive
    // than the timeout, so its parts count as well.
    core::instant last_received() const
    {
        return connection_ ? std::max(last_received_, connection_->last_read())
                           : last_received_;
    }

    void record_received(core::instant at)
    {
        last_received_ = std::max(last_received_, at);
        auto const silence = node_->silence(at);
        if (node_->record_byte(at))
        {
            report(true, silence);
        }
    }

    void report(bool responsive, core::duration silence)
    {
        // The limit on lines about requests also bounds these.
        if (core::admit_request_line(core::request_event::exceptional))
        {
            auto const silent_ms =
                std::chrono::duration_cast<core::milliseconds>(silence).count();
            if (responsive)
            {
                core::log_event(core::log_level::info, "peer_responsive",
                                {{"node", core::to_string(key_.node)},
                                 {"calls", calls_.size()},
                                 {"silent_ms", silent_ms}});
            }
            else
            {
                core::log_event(core::log_level::warning, "peer_unresponsive",
                                {{"node", core::to_string(key_.node)},
                                 {"calls", calls_.size()},
                                 {"silent_ms", silent_ms}});
            }
        }
        if (owner_.liveness)
        {
            owner_.liveness(key_.node, responsive ? node_contact::responsive
                                                  : node_contact::unresponsive);
        }
    }

    // Starts the timer for the next liveness check. The timer runs only while
    // calls are open or a ping is unanswered, so that an idle link costs
    // nothing.
    void schedule_liveness_check(core::duration delay)
    {
        if (std::exchange(check_scheduled_, true))
        {
            return;
        }
        check_due_ = core::boot_clock::now() + delay;
        liveness_timer_.expires_after(delay);
        liveness_timer_.async_wait(
            [weak = weak_from_this()](error_code const& ec) {
                auto const self = weak.lock();
                if (!self || ec)
                {
                    return;
                }
                self->check_scheduled_ = false;
                self->check_liveness();
            });
    }

    void check_liveness()
    {
        auto const is_watched = [this] {
            return !broken_ && (!calls_.empty() || node_->ping_unanswered());
        };
        if (!is_watched())
        {
            return;
        }
        if (connection_)
        {
            record_received(connection_->last_read());
        }
        auto const now = core::boot_clock::now();
        auto const since_last_received = now - last_received_;
        if (connection_ && since_last_received >= settings_.liveness_timeout &&
            (!calls_.empty() || node_->unresponsive()))
        {
            connection_->close(
                {core::error_kind::io,
                 "liveness timeout: no frame received from the node"});
            return;
        }
        if (connection_ && node_->check(check_due_, now))
        {
            report(false, node_->silence(now));
        }
        if (connection_ && !calls_.empty() &&
            std::min(since_last_received, now - last_ping_) >=
                settings_.ping_delay)
        {
            last_ping_ = now;
            send_ping();
            owner_.pinged();
            node_->record_ping();
        }
        if (is_watched())
        {
            schedule_liveness_check(std::max<core::duration>(
                settings_.ping_delay - since_last_received,
                settings_.check_interval));
        }
    }

    void handle_disconnect(std::string const& reason)
    {
        if (std::exchange(broken_, true))
        {
            return;
        }
        core::log_event(core::log_level::warning, "peer_lost",
                        {{"node", core::to_string(key_.node)},
                         {"calls", calls_.size()},
                         {"reason", reason}});
        liveness_timer_.cancel();
        bool const was_connected =
            std::exchange(connection_, nullptr) != nullptr;
        for (auto& [call, it] : std::exchange(calls_, {}))
        {
            node_->record_call_closed();
            it.handlers.disconnected({it.sent, reason});
        }
        // The peer_lost line stands for this change.
        if (was_connected &&
            node_->record_connection_lost(core::boot_clock::now()) &&
            owner_.liveness)
        {
            owner_.liveness(key_.node, node_contact::lost);
        }
    }

    asio::io_context& context_;
    asio::steady_timer liveness_timer_;
    link_key key_;
    peer_link_settings settings_;
    std::shared_ptr<node_liveness> node_;
    owner_handlers owner_;
    // Null until connected, and again after the connection is lost.
    std::shared_ptr<transport::frame_connection> connection_;
    std::map<core::call_id, open_call> calls_;
    std::vector<std::pair<core::call_id, std::string>> queued_frames_;
    core::instant last_received_{};
    core::instant last_ping_{};
    core::instant check_due_{};
    bool check_scheduled_ = false;
    // Invariant: never cleared once set. The next call to this node creates a
    // new link.
    bool broken_ = false;
};

peer_links::peer_links(asio::io_context& context, core::endpoint self,
                       local_message_handler handle_local_message,
                       peer_link_settings settings)
    : context_(context), self_(std::move(self)),
      local_message_handler_(std::move(handle_local_message)),
      settings_(std::move(settings)),
      nullable_self_(std::make_shared<peer_links*>(this))
{}

peer_links::~peer_links()
{
    *nullable_self_ = nullptr;
    for (auto const& [to, it] : links_)
    {
        it->shut_down();
    }
}

std::shared_ptr<peer_links::link> peer_links::make_link(link_key const& to)
{
    auto& node = nodes_[to.node];
    if (!node)
    {
        node = std::make_shared<node_liveness>(settings_.liveness);
    }
    // The answer to a ping on the link for long bodies may have to wait for the
    // bandwidth of the other node, so the other link is asked as well.
    auto ping_short_link = [pointer = nullable_self_, to] {
        if (*pointer == nullptr ||
            to.traffic_class == traffic_class::short_messages)
        {
            return;
        }
        auto const& links = (*pointer)->links_;
        auto const found = links.find({to.node, traffic_class::short_messages});
        if (found != links.end())
        {
            found->second->send_ping();
        }
    };
    return std::make_shared<link>(
        context_, to, settings_, node,
        link::owner_handlers{load_handler_, liveness_handler_,
                             std::move(ping_short_link)});
}

void peer_links::open(link_key const& to, core::call_id const& call,
                      call_handlers handlers)
{
    if (to.node == self_)
    {
        local_calls_.emplace(call, std::move(handlers));
        return;
    }
    auto& it = links_[to];
    if (!it || it->is_broken())
    {
        it = make_link(to);
        it->connect();
    }
    it->open(call, std::move(handlers));
}

void peer_links::send(link_key const& to, message const& it)
{
    if (to.node != self_)
    {
        auto const found = links_.find(to);
        if (found != links_.end())
        {
            found->second->send(it);
        }
        return;
    }
    auto reply = [pointer = nullable_self_, &context = context_](message m) {
        asio::post(context, [pointer, m = std::move(m)]() mutable {
            if (*pointer == nullptr)
            {
                return;
            }
            if (auto const* update = std::get_if<load_update>(&m))
            {
                if ((*pointer)->load_handler_)
                {
                    (*pointer)->load_handler_(update->upstream, update->load);
                }
                return;
            }
            auto& calls = (*pointer)->local_calls_;
            auto const found = calls.find(call_of(m));
            if (found != calls.end())
            {
                auto const handler = found->second.received;
                handler(std::move(m));
            }
        });
    };
    local_message_handler_(it, std::move(reply));
}

void peer_links::close(link_key const& to, core::call_id const& call)
{
    if (to.node == self_)
    {
        local_calls_.erase(call);
        return;
    }
    auto const found = links_.find(to);
    if (found != links_.end())
    {
        found->second->close(call);
    }
}

} // namespace yuccafall::peers
