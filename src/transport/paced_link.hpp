// Runs a link_pacer with a timer. All connections of a thread that send long
// messages share one instance.
#ifndef YUCCAFALL_TRANSPORT_PACED_LINK_HPP
#define YUCCAFALL_TRANSPORT_PACED_LINK_HPP

#include <functional>
#include <map>
#include <memory>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>

#include "transport/link_pacer.hpp"

namespace yuccafall::transport {

// Not thread-safe: each instance is used on one thread only.
class paced_link : public std::enable_shared_from_this<paced_link>
{
public:
    using grant_handler = std::function<void(core::byte_count)>;

    paced_link(boost::asio::any_io_executor const& executor,
               link_pacer_settings settings);

    link_ticket open(core::byte_count size) { return pacer_.open(size); }
    // Drops the handler of a request that has not been granted.
    void close(link_ticket const& it);
    // Calls the handler once the next part of the message may be sent, with the
    // size of that part. The handler is never called from within request().
    void request(link_ticket const& it, grant_handler on_granted);

    // Returns how long the long messages take whose connections keep up.
    core::duration backlog() const
    {
        return pacer_.active_backlog(core::boot_clock::now());
    }

private:
    void schedule();
    void grant_parts();

    link_pacer pacer_;
    boost::asio::steady_timer timer_;
    // Invariant: has the handlers of all requests of the pacer.
    std::map<link_ticket, grant_handler> handlers_;
    bool scheduled_ = false;
};

} // namespace yuccafall::transport

#endif
