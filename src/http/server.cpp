// Accepts connections and chooses those that give way to new ones.
#include "http/server.hpp"

#include <fmt/format.h>

#include "core/log.hpp"
#include "http/remote_name.hpp"

namespace yuccafall::http {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;
using core::error_kind;

namespace {

// While the process has no free file descriptors, accept() fails immediately.
// A retry without a delay would be a busy loop.
constexpr core::milliseconds accept_retry_delay{100};

} // namespace

server::server(asio::io_context& context, handler request_handler,
               error_response_function make_error_response)
    : acceptor_(context), accept_retry_timer_(context),
      request_handler_(std::move(request_handler)),
      make_error_response_(std::move(make_error_response))
{}

core::result<std::shared_ptr<server>>
server::listen(asio::io_context& context, core::endpoint const& at,
               handler request_handler,
               error_response_function make_error_response)
{
    auto it = std::make_shared<server>(context, std::move(request_handler),
                                       std::move(make_error_response));
    if (auto opened = it->open(at); !opened)
    {
        return tl::unexpected(opened.error());
    }
    it->accept();
    return it;
}

core::result<void> server::open(core::endpoint const& at)
{
    error_code ec;
    auto const address = asio::ip::make_address_v4(at.address.value(), ec);
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
        acceptor_.bind(tcp::endpoint(address, at.port.value()), ec);
    }
    if (!ec)
    {
        acceptor_.listen(asio::socket_base::max_listen_connections, ec);
    }
    if (ec)
    {
        return core::failure(
            error_kind::io,
            fmt::format("listen on {}: {}", core::to_string(at), ec.message()));
    }
    local_endpoint_ = {at.address,
                       core::port_number(acceptor_.local_endpoint().port())};
    return {};
}

void server::accept()
{
    acceptor_.async_accept([self = shared_from_this()](error_code const& ec,
                                                       tcp::socket socket) {
        if (self->stopped_)
        {
            return;
        }
        if (ec)
        {
            core::log_event(core::log_level::warning, "accept_failed",
                            {{"reason", ec.message()}});
            self->accept_retry_timer_.expires_after(accept_retry_delay);
            self->accept_retry_timer_.async_wait(
                [self](error_code const&) { self->accept(); });
            return;
        }
        if (self->connections_.size() <
                self->settings_.max_connections.value() ||
            self->close_idle_connection())
        {
            std::make_shared<server_connection>(self, std::move(socket))
                ->start();
        }
        else
        {
            core::add(self->counters_->refused);
            if (core::admit_request_line(core::request_event::exceptional))
            {
                core::log_event(core::log_level::warning, "connection_refused",
                                {{"remote", remote_name(socket)},
                                 {"open", self->connections_.size()}});
            }
        }
        self->accept();
    });
}

// A connection on which no request has been made goes first, since callers
// expect a connection that they have used to stay open. One that sends its
// first request goes after these, since its caller may be about to complete it.
bool server::close_idle_connection()
{
    auto const& from = !idle_without_request_.empty()   ? idle_without_request_
                       : !idle_after_request_.empty()   ? idle_after_request_
                       : !receiving_first_head_.empty() ? receiving_first_head_
                                                        : busy_;
    if (from.empty())
    {
        return false;
    }
    from.front()->give_way();
    return true;
}

void server::start_draining()
{
    draining_ = true;
}

void server::stop()
{
    stopped_ = true;
    error_code ignored;
    acceptor_.close(ignored);
    accept_retry_timer_.cancel();
    auto const open = connections_;
    for (auto* it : open)
    {
        it->close();
    }
}

} // namespace yuccafall::http
