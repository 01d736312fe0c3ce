// A caller that shows the bytes that it gets. It uses no HTTP library, so that
// it cannot take over a mistake of the node's own.
#ifndef YUCCAFALL_STAND_INS_RAW_CALLER_HPP
#define YUCCAFALL_STAND_INS_RAW_CALLER_HPP

#include <string>

#include "core/endpoint.hpp"
#include "core/units.hpp"
#include "http/message.hpp"

namespace yuccafall::stand_ins {

struct raw_result
{
    // All bytes up to the end of the connection.
    std::string bytes;
    // Whether the connection ended with a FIN, within the timeout.
    bool ended = false;

    // Returns the three digits of the status line, or nothing.
    std::string status() const;
    // Returns what follows the head.
    std::string body() const;
};

// Sends the request on a new connection, asks the node to close the connection
// after the response, and reads until it is closed.
raw_result call_raw(core::endpoint const& to, http::request it,
                    core::milliseconds timeout);

} // namespace yuccafall::stand_ins

#endif
