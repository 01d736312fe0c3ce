// Serves each connection on a thread of its own, with blocking calls.
#include "stand_ins/raw_worker.hpp"

#include <optional>
#include <utility>

#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include "core/overloaded.hpp"
#include "http/message.hpp"

namespace yuccafall::stand_ins {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

// Keeps the kernel from taking in the rest of a long request, so that the
// client is still writing it when the reply ends.
constexpr int receive_buffer_bytes = 16 * 1024;

// Returns the value of the field in the head of a request, or nothing.
std::string field_of(std::string const& head, std::string const& name)
{
    auto const at = head.find("\r\n" + name + ": ");
    if (at == std::string::npos)
    {
        return {};
    }
    auto const start = at + name.size() + 4;
    return head.substr(start, head.find("\r\n", start) - start);
}

std::string with_id(std::string bytes, std::string const& id)
{
    constexpr std::string_view placeholder = "{id}";
    for (auto at = bytes.find(placeholder); at != std::string::npos;
         at = bytes.find(placeholder, at + id.size()))
    {
        bytes.replace(at, placeholder.size(), id);
    }
    return bytes;
}

} // namespace

raw_worker::raw_worker(core::endpoint const& at) : acceptor_(context_)
{
    tcp::endpoint const endpoint(asio::ip::make_address(at.address.value()),
                                 at.port.value());
    acceptor_.open(endpoint.protocol());
    acceptor_.set_option(asio::socket_base::reuse_address(true));
    acceptor_.set_option(
        asio::socket_base::receive_buffer_size(receive_buffer_bytes));
    acceptor_.bind(endpoint);
    acceptor_.listen();
    acceptor_thread_ = std::thread([this] { accept(); });
}

raw_worker::~raw_worker()
{
    {
        std::lock_guard const lock(mutex_);
        stopped_ = true;
        error_code ignored;
        for (auto const& it : sockets_)
        {
            it->shutdown(tcp::socket::shutdown_both, ignored);
        }
    }
    // A connection ends the accept() that blocks the thread.
    error_code ignored;
    tcp::socket(context_).connect(acceptor_.local_endpoint(), ignored);
    acceptor_thread_.join();
    for (auto& it : connection_threads_)
    {
        it.join();
    }
}

core::endpoint raw_worker::local() const
{
    auto const it = acceptor_.local_endpoint();
    return {core::ip_address(it.address().to_string()),
            core::port_number(it.port())};
}

void raw_worker::set_reply(reply it)
{
    std::lock_guard const lock(mutex_);
    reply_ = std::move(it);
}

int raw_worker::arrivals(std::string const& id) const
{
    std::lock_guard const lock(mutex_);
    auto const found = arrivals_.find(id);
    return found == arrivals_.end() ? 0 : found->second;
}

int raw_worker::requests_on_used_connections() const
{
    std::lock_guard const lock(mutex_);
    return requests_on_used_connections_;
}

std::string raw_worker::body_of(std::string const& id) const
{
    std::lock_guard const lock(mutex_);
    auto const found = bodies_.find(id);
    return found == bodies_.end() ? std::string() : found->second;
}

void raw_worker::accept()
{
    for (;;)
    {
        auto const socket = std::make_shared<tcp::socket>(context_);
        error_code ec;
        acceptor_.accept(*socket, ec);
        std::lock_guard const lock(mutex_);
        if (stopped_)
        {
            return;
        }
        if (!ec)
        {
            sockets_.push_back(socket);
            connection_threads_.emplace_back(
                [this, socket] { serve(*socket); });
        }
    }
}

void raw_worker::serve(tcp::socket& socket)
{
    error_code ec;
    std::string buffer;
    for (bool used = false; !ec; used = true)
    {
        auto const n = asio::read_until(socket, asio::dynamic_buffer(buffer),
                                        "\r\n\r\n", ec);
        if (ec)
        {
            break;
        }
        auto const head = buffer.substr(0, n);
        auto const id = field_of(head, "Attempt-Id");
        auto const body_size =
            http::parse_number(field_of(head, "Content-Length")).value_or(0);
        buffer.erase(0, n);
        reply steps;
        {
            std::lock_guard const lock(mutex_);
            ++arrivals_[id];
            requests_on_used_connections_ += used ? 1 : 0;
            steps = reply_;
        }
        auto const run = core::overloaded{
            [&](send_bytes const& it) {
                asio::write(socket, asio::buffer(with_id(it.bytes, id)), ec);
            },
            [&](read_body const&) {
                if (buffer.size() < body_size)
                {
                    asio::read(
                        socket, asio::dynamic_buffer(buffer),
                        asio::transfer_exactly(body_size - buffer.size()), ec);
                }
                std::lock_guard const lock(mutex_);
                bodies_[id] = buffer.substr(0, body_size);
                buffer.erase(0, body_size);
            },
            [&](pause_for const& it) {
                asio::steady_timer(context_, it.duration).wait(ec);
            },
            [&](send_fin const&) {
                socket.shutdown(tcp::socket::shutdown_send, ec);
            },
            [&](send_reset const&) {
                socket.set_option(asio::socket_base::linger(true, 0), ec);
                std::lock_guard const lock(mutex_);
                socket.close(ec);
                ec = asio::error::connection_reset;
            },
            [&](await_close const&) {
                asio::read(socket, asio::dynamic_buffer(buffer),
                           asio::transfer_all(), ec);
            }};
        for (auto const& step : steps)
        {
            if (!ec)
            {
                std::visit(run, step);
            }
        }
    }
    std::lock_guard const lock(mutex_);
    error_code ignored;
    socket.close(ignored);
}

} // namespace yuccafall::stand_ins
