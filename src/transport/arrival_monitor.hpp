// Tells when data of a peer arrived in the kernel's buffer while the node does
// not read it, for example because it has no memory for the next frame.
#ifndef YUCCAFALL_TRANSPORT_ARRIVAL_MONITOR_HPP
#define YUCCAFALL_TRANSPORT_ARRIVAL_MONITOR_HPP

#include <optional>

#include <boost/asio/ip/tcp.hpp>

#include "core/units.hpp"

namespace yuccafall::transport {

class arrival_monitor
{
public:
    // Data that arrives from now on counts.
    void start(boost::asio::ip::tcp::socket& socket);

    // Returns the time of a new sign of life since the last call, or nothing if
    // there is none: more data has arrived, or the buffer is so full that the
    // peer may be unable to send, and its kernel has acknowledged something. A
    // socket that is closed has none.
    std::optional<core::instant>
    new_arrival(boost::asio::ip::tcp::socket& socket);

private:
    // The number of unread bytes when data arrived most recently.
    int unread_ = 0;
};

} // namespace yuccafall::transport

#endif
