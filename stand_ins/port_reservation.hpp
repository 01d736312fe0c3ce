// Reserves free ports for processes that must be given a port when they start.
#ifndef YUCCAFALL_STAND_INS_PORT_RESERVATION_HPP
#define YUCCAFALL_STAND_INS_PORT_RESERVATION_HPP

#include "core/endpoint.hpp"

namespace yuccafall::stand_ins {

// Reserves a port, which the kernel chooses, for the lifetime of the object.
// The object's socket is bound to the port on all addresses but does not
// listen. A process that sets SO_REUSEADDR, as Asio's acceptors do, can
// therefore listen on the port of any loopback address, while the kernel does
// not choose the port for any other socket.
class port_reservation
{
public:
    port_reservation();
    ~port_reservation();

    port_reservation(port_reservation const&) = delete;
    port_reservation& operator=(port_reservation const&) = delete;
    port_reservation(port_reservation&& other) noexcept;
    port_reservation& operator=(port_reservation&&) = delete;

    core::port_number port() const { return port_; }

private:
    int socket_ = -1;
    core::port_number port_;
};

} // namespace yuccafall::stand_ins

#endif
