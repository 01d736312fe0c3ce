// Waits, in tests, until the kernel of the receiver holds what was sent.
#ifndef YUCCAFALL_TRANSPORT_TESTS_DELIVERY_HPP
#define YUCCAFALL_TRANSPORT_TESTS_DELIVERY_HPP

#include <linux/sockios.h>
#include <sys/ioctl.h>

#include <chrono>
#include <thread>

#include <boost/asio/ip/tcp.hpp>

namespace yuccafall::transport::tests {

// Returns once the receiver's kernel has acknowledged all data, so that it is
// in the receive buffer although the receiver has not read it. The kernel
// reports no event for this, and the result does not depend on how long it
// takes.
inline void wait_until_delivered(boost::asio::ip::tcp::socket& sender)
{
    int unacknowledged = 1;
    while (unacknowledged > 0)
    {
        ::ioctl(sender.native_handle(), SIOCOUTQ, &unacknowledged);
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
}

} // namespace yuccafall::transport::tests

#endif
