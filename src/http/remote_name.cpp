// Formats the remote endpoint of a socket.
#include "http/remote_name.hpp"

#include <fmt/format.h>

namespace yuccafall::http {

std::string remote_name(boost::asio::ip::tcp::socket const& socket)
{
    boost::system::error_code ec;
    auto const it = socket.remote_endpoint(ec);
    return ec ? std::string("unknown")
              : fmt::format("{}:{}", it.address().to_string(), it.port());
}

} // namespace yuccafall::http
