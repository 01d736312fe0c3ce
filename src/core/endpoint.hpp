// An IP address with a port.
#ifndef YUCCAFALL_CORE_ENDPOINT_HPP
#define YUCCAFALL_CORE_ENDPOINT_HPP

#include <cstdint>
#include <string>
#include <string_view>
#include <tuple>

#include "core/error.hpp"
#include "core/strong.hpp"

namespace yuccafall::core {

using ip_address = strong<struct ip_address_tag, std::string>;
using port_number = strong<struct port_number_tag, std::uint16_t>;

struct endpoint
{
    ip_address address;
    port_number port;

    friend bool operator==(endpoint const& a, endpoint const& b)
    {
        return a.address == b.address && a.port == b.port;
    }
    friend bool operator!=(endpoint const& a, endpoint const& b)
    {
        return !(a == b);
    }
    friend bool operator<(endpoint const& a, endpoint const& b)
    {
        return std::tie(a.address, a.port) < std::tie(b.address, b.port);
    }
};

std::string to_string(endpoint const& it);

// Parses "IP:PORT" with an IPv4 address; host names are not resolved.
result<endpoint> parse_endpoint(std::string_view text);

} // namespace yuccafall::core

#endif
