// Accepts connections and checks the channel kind in their first frame.
#include "transport/frame_acceptor.hpp"

#include <algorithm>
#include <utility>

#include <boost/asio/post.hpp>
#include <boost/asio/strand.hpp>
#include <fmt/format.h>

#include "core/log.hpp"

namespace yuccafall::transport {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

// accept() fails immediately while the process is out of file descriptors.
// Retrying without a delay would be a busy loop.
constexpr core::milliseconds accept_retry_delay{100};

void log_refused_connection(std::string const& remote,
                            core::error const& reason)
{
    core::log_event(core::log_level::warning, "frame_connection_refused",
                    {{"remote", remote}, {"reason", reason.detail}});
}

} // namespace

frame_acceptor::frame_acceptor(asio::io_context& context,
                               acceptor_options const& options,
                               accepted_handler accepted)
    : context_(context), acceptor_(asio::make_strand(context)),
      accept_retry_timer_(acceptor_.get_executor()), options_(options),
      accepted_handler_(std::move(accepted)),
      connection_count_(std::make_shared<std::atomic<std::uint32_t>>(0))
{}

core::result<std::shared_ptr<frame_acceptor>>
frame_acceptor::listen(asio::io_context& context, core::endpoint const& at,
                       acceptor_options const& options,
                       accepted_handler accepted)
{
    auto it =
        std::make_shared<frame_acceptor>(context, options, std::move(accepted));
    auto opened = it->open(at);
    if (!opened)
    {
        return tl::unexpected(opened.error());
    }
    asio::post(it->acceptor_.get_executor(), [it] { it->accept(); });
    return it;
}

core::result<void> frame_acceptor::open(core::endpoint const& at)
{
    error_code ec;
    auto const address = asio::ip::make_address_v4(at.address.value(), ec);
    tcp::endpoint const listen_endpoint(address, at.port.value());
    if (!ec)
    {
        acceptor_.open(tcp::v4(), ec);
    }
    if (!ec)
    {
        acceptor_.set_option(tcp::acceptor::reuse_address(true), ec);
    }
    if (!ec)
    {
        acceptor_.bind(listen_endpoint, ec);
    }
    if (!ec)
    {
        acceptor_.listen(asio::socket_base::max_listen_connections, ec);
    }
    if (ec)
    {
        return core::failure(core::error_kind::io,
                             fmt::format("cannot listen on {}: {}",
                                         core::to_string(at), ec.message()));
    }
    local_endpoint_ = {at.address,
                       core::port_number(acceptor_.local_endpoint().port())};
    return {};
}

void frame_acceptor::stop()
{
    asio::post(acceptor_.get_executor(), [self = shared_from_this()] {
        self->stopped_ = true;
        error_code ignored;
        self->acceptor_.close(ignored);
        self->accept_retry_timer_.cancel(ignored);
    });
}

frame_acceptor::close_notifier::~close_notifier()
{
    if (notify)
    {
        notify();
    }
}

void frame_acceptor::close(std::function<void()> done)
{
    stop();
    asio::post(acceptor_.get_executor(), [self = shared_from_this(),
                                          done = std::move(done)]() mutable {
        auto const all = std::exchange(self->close_notifier_, nullptr);
        if (!all)
        {
            return;
        }
        all->notify = std::move(done);
        for (auto const& weak : self->connections_)
        {
            if (auto const it = weak.lock())
            {
                asio::post(it->executor(), [it] {
                    it->close(
                        {core::error_kind::canceled, "acceptor was closed"});
                });
            }
        }
        self->connections_.clear();
    });
}

void frame_acceptor::track(std::shared_ptr<frame_connection> const& it)
{
    // The entries of destroyed connections are removed whenever the vector
    // would otherwise have to grow.
    if (connections_.size() == connections_.capacity())
    {
        connections_.erase(
            std::remove_if(connections_.begin(), connections_.end(),
                           [](auto const& weak) { return weak.expired(); }),
            connections_.end());
    }
    connections_.push_back(it);
}

void frame_acceptor::accept()
{
    if (stopped_)
    {
        return;
    }
    acceptor_.async_accept(
        asio::make_strand(context_),
        [self = shared_from_this()](error_code const& ec, tcp::socket socket) {
            if (self->stopped_)
            {
                return;
            }
            if (!ec)
            {
                self->add_connection(std::move(socket));
                self->accept();
                return;
            }
            self->accept_retry_timer_.expires_after(accept_retry_delay);
            self->accept_retry_timer_.async_wait(
                [self](error_code const&) { self->accept(); });
        });
}

void frame_acceptor::add_connection(tcp::socket socket)
{
    if (connection_count_->fetch_add(1) >= options_.max_connections.value())
    {
        connection_count_->fetch_sub(1);
        core::log_event(core::log_level::warning, "frame_connection_refused",
                        {{"reason", "connection limit reached"},
                         {"most", options_.max_connections.value()}});
        return;
    }
    // The deleter decrements connection_count_ when the last reference to the
    // connection is released.
    std::shared_ptr<frame_connection> connection(
        new frame_connection(std::move(socket), options_.kind,
                             options_.connection),
        [count = connection_count_,
         notifier = close_notifier_](frame_connection* it) {
            delete it;
            count->fetch_sub(1);
        });
    track(connection);
    auto first_frame = [kind = options_.kind, accepted = accepted_handler_,
                        weak = std::weak_ptr<frame_connection>(connection)](
                           std::string const& frame) {
        auto const it = weak.lock();
        if (!it)
        {
            return;
        }
        if (frame != std::string(1, static_cast<char>(kind)))
        {
            it->close({core::error_kind::bad_frame,
                       "first frame does not name the expected channel kind"});
            return;
        }
        accepted(it);
    };
    auto closed = [remote = connection->remote()](core::error const& reason) {
        log_refused_connection(remote, reason);
    };
    asio::post(connection->executor(), [connection,
                                        first_frame = std::move(first_frame),
                                        closed = std::move(closed)]() mutable {
        connection->start({std::move(first_frame), nullptr, std::move(closed)});
    });
}

} // namespace yuccafall::transport
