// Options of every TCP connection of this process: no delay, and a bound on how
// long a peer that has vanished goes unnoticed.
#ifndef YUCCAFALL_TRANSPORT_SOCKET_OPTIONS_HPP
#define YUCCAFALL_TRANSPORT_SOCKET_OPTIONS_HPP

#include <boost/asio/ip/tcp.hpp>

namespace yuccafall::transport {

void set_socket_options(boost::asio::ip::tcp::socket& socket);

} // namespace yuccafall::transport

#endif
