// A caller that keeps its connections open for further requests, as most
// clients do, also while the node that it uses is stopped.
#ifndef YUCCAFALL_STAND_INS_CALLER_SESSION_HPP
#define YUCCAFALL_STAND_INS_CALLER_SESSION_HPP

#include <map>
#include <memory>

#include <boost/asio/io_context.hpp>

#include "http/client_connection.hpp"
#include "stand_ins/deployment.hpp"

namespace yuccafall::stand_ins {

// Must be used on one thread only.
class caller_session
{
public:
    ~caller_session();

    // Sends the request on the open connection to the endpoint, or on a new one
    // if there is none or it cannot be used again, and waits for the response.
    call_result call(core::endpoint const& to, http::request const& it,
                     core::milliseconds timeout);

private:
    using connection = std::shared_ptr<http::client_connection>;

    // Returns null if no connection can be opened.
    connection connect(core::endpoint const& to, core::milliseconds timeout);

    boost::asio::io_context context_{1};
    std::map<core::endpoint, connection> open_;
};

} // namespace yuccafall::stand_ins

#endif
