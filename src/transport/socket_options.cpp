// Keep-alive probes and the limit on unacknowledged bytes.
#include "transport/socket_options.hpp"

#include <netinet/tcp.h>
#include <sys/socket.h>

namespace yuccafall::transport {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

// Unacknowledged bytes for this long mean that the peer is gone. Three times
// the slowest retransmission seen on a link that loses 3 in 100 packets.
constexpr int unacknowledged_ms = 2'000;

// The kernel probes a quiet connection after this many seconds, this often,
// and gives it up after this many probes.
constexpr int probe_after_s = 2;
constexpr int probe_every_s = 1;
constexpr int probes = 2;

template <int Level, int Name>
using int_option = asio::detail::socket_option::integer<Level, Name>;

} // namespace

void set_socket_options(tcp::socket& socket)
{
    error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    socket.set_option(asio::socket_base::keep_alive(true), ignored);
    socket.set_option(int_option<IPPROTO_TCP, TCP_KEEPIDLE>(probe_after_s),
                      ignored);
    socket.set_option(int_option<IPPROTO_TCP, TCP_KEEPINTVL>(probe_every_s),
                      ignored);
    socket.set_option(int_option<IPPROTO_TCP, TCP_KEEPCNT>(probes), ignored);
    socket.set_option(
        int_option<IPPROTO_TCP, TCP_USER_TIMEOUT>(unacknowledged_ms), ignored);
}

} // namespace yuccafall::transport
