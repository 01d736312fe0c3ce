// Sets SO_KEEPALIVE with the times and the number of its probes, TCP_NODELAY,
// and TCP_USER_TIMEOUT, which limits how long sent data may stay
// unacknowledged.
#include "transport/socket_options.hpp"

#include <netinet/tcp.h>
#include <sys/socket.h>

namespace yuccafall::transport {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

// The kernel closes a connection if sent data stays unacknowledged for this
// long (TCP_USER_TIMEOUT). This is three times the slowest retransmission that
// was seen on a link that loses 3 in 100 packets.
constexpr int user_timeout_ms = 2'000;

// Idle time before the kernel sends the first keep-alive probe (TCP_KEEPIDLE),
// the interval between probes (TCP_KEEPINTVL), and the number of unanswered
// probes after which the kernel closes the connection (TCP_KEEPCNT).
constexpr int keep_alive_idle_s = 2;
constexpr int keep_alive_interval_s = 1;
constexpr int keep_alive_probes = 2;

template <int Level, int Name>
using int_option = asio::detail::socket_option::integer<Level, Name>;

} // namespace

void set_socket_options(tcp::socket& socket)
{
    error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    socket.set_option(asio::socket_base::keep_alive(true), ignored);
    socket.set_option(int_option<IPPROTO_TCP, TCP_KEEPIDLE>(keep_alive_idle_s),
                      ignored);
    socket.set_option(
        int_option<IPPROTO_TCP, TCP_KEEPINTVL>(keep_alive_interval_s), ignored);
    socket.set_option(int_option<IPPROTO_TCP, TCP_KEEPCNT>(keep_alive_probes),
                      ignored);
    socket.set_option(
        int_option<IPPROTO_TCP, TCP_USER_TIMEOUT>(user_timeout_ms), ignored);
}

} // namespace yuccafall::transport
