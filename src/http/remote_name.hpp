// Names the other end of a connection in log lines.
#ifndef YUCCAFALL_HTTP_REMOTE_NAME_HPP
#define YUCCAFALL_HTTP_REMOTE_NAME_HPP

#include <string>

#include <boost/asio/ip/tcp.hpp>

namespace yuccafall::http {

// Returns the address and port, or "unknown" if the connection has ended.
std::string remote_name(boost::asio::ip::tcp::socket const& socket);

} // namespace yuccafall::http

#endif
