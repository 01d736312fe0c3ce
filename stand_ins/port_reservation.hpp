// Free ports for processes that are told their port before they start.
#ifndef YUCCAFALL_STAND_INS_PORT_RESERVATION_HPP
#define YUCCAFALL_STAND_INS_PORT_RESERVATION_HPP

#include "core/endpoint.hpp"

namespace yuccafall::stand_ins {

// Holds a loopback port chosen by the kernel for as long as it exists. The
// socket is bound but does not listen, so a process that sets SO_REUSEADDR, as
// asio's acceptors do, can listen on the port, while the kernel gives it to no
// other socket in the meantime.
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
    core::endpoint endpoint() const;

private:
    int socket_ = -1;
    core::port_number port_;
};

} // namespace yuccafall::stand_ins

#endif
