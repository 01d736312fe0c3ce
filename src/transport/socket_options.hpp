// Socket options for every TCP connection of this process. They disable Nagle's
// algorithm and limit how long the loss of a peer goes undetected.
#ifndef YUCCAFALL_TRANSPORT_SOCKET_OPTIONS_HPP
#define YUCCAFALL_TRANSPORT_SOCKET_OPTIONS_HPP

#include <boost/asio/ip/tcp.hpp>

namespace yuccafall::transport {

void set_socket_options(boost::asio::ip::tcp::socket& socket);

} // namespace yuccafall::transport

#endif
