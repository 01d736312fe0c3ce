// Compares the number of unread bytes, and asks the kernel for the last
// acknowledgement.
#include "transport/arrival_monitor.hpp"

#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

namespace yuccafall::transport {

using boost::asio::ip::tcp;

namespace {

// A buffer that holds at least this share of its size counts as full. The
// kernel offers half of the size to the peer, or less if the data arrives in
// small packets.
constexpr int full_buffer_divisor = 4;

// Returns 0 if the socket is closed, which its owner learns otherwise.
int unread_bytes(tcp::socket& socket)
{
    int out = 0;
    // NOLINTNEXTLINE(cppcoreguidelines-pro-type-vararg)
    return ::ioctl(socket.native_handle(), FIONREAD, &out) == 0 ? out : 0;
}

bool is_full(tcp::socket& socket, int unread)
{
    boost::asio::socket_base::receive_buffer_size size;
    boost::system::error_code ec;
    socket.get_option(size, ec);
    return !ec && unread >= size.value() / full_buffer_divisor;
}

std::optional<core::instant> last_acknowledgement(tcp::socket& socket)
{
    tcp_info info{};
    socklen_t size = sizeof info;
    if (::getsockopt(socket.native_handle(), IPPROTO_TCP, TCP_INFO, &info,
                     &size) != 0)
    {
        return std::nullopt;
    }
    return core::boot_clock::now() -
           core::milliseconds(info.tcpi_last_ack_recv);
}

} // namespace

void arrival_monitor::start(tcp::socket& socket)
{
    unread_ = unread_bytes(socket);
}

std::optional<core::instant> arrival_monitor::new_arrival(tcp::socket& socket)
{
    auto const unread = unread_bytes(socket);
    if (unread > unread_)
    {
        unread_ = unread;
        return core::boot_clock::now();
    }
    return is_full(socket, unread) ? last_acknowledgement(socket)
                                   : std::nullopt;
}

} // namespace yuccafall::transport
