// Binds a socket to a port that the kernel chooses.
#include "stand_ins/port_reservation.hpp"

#include <cerrno>
#include <system_error>
#include <utility>

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace yuccafall::stand_ins {

namespace {

[[noreturn]] void throw_errno(char const* what)
{
    throw std::system_error(errno, std::generic_category(), what);
}

sockaddr* as_sockaddr(sockaddr_in& it)
{
    return reinterpret_cast<sockaddr*>(&it);
}

} // namespace

port_reservation::port_reservation()
    : socket_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    if (socket_ < 0)
    {
        throw_errno("socket");
    }
    sockaddr_in address{};
    address.sin_family = AF_INET;
    // With one address, such as 127.0.0.1, the kernel may choose a port on
    // which a process listens at another loopback address, for example a node
    // that a killed test program has left behind. It may also choose the port
    // for another socket that is bound there.
    address.sin_addr.s_addr = htonl(INADDR_ANY);
    socklen_t size = sizeof address;
    if (::bind(socket_, as_sockaddr(address), size) != 0 ||
        ::getsockname(socket_, as_sockaddr(address), &size) != 0)
    {
        ::close(socket_);
        throw_errno("bind");
    }
    // The option is set after bind(): with it, the kernel may choose a port
    // that another test process has reserved. Without it, the process that the
    // port is meant for could not bind to it.
    int const enabled = 1;
    ::setsockopt(socket_, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof enabled);
    port_ = core::port_number(ntohs(address.sin_port));
}

port_reservation::~port_reservation()
{
    if (socket_ >= 0)
    {
        ::close(socket_);
    }
}

port_reservation::port_reservation(port_reservation&& other) noexcept
    : socket_(std::exchange(other.socket_, -1)), port_(other.port_)
{}

} // namespace yuccafall::stand_ins
