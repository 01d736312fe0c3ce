// Formats and parses endpoints.
#include "core/endpoint.hpp"

#include <charconv>

#include <boost/asio/ip/address_v4.hpp>
#include <fmt/format.h>

namespace yuccafall::core {

std::string to_string(endpoint const& it)
{
    return fmt::format("{}:{}", it.address.value(), it.port.value());
}

result<endpoint> parse_endpoint(std::string_view text)
{
    auto const colon = text.rfind(':');
    if (colon == std::string_view::npos)
    {
        return failure(error_kind::bad_request,
                       fmt::format("\"{}\" is not IP:PORT", text));
    }
    auto const ip = std::string(text.substr(0, colon));
    boost::system::error_code ec;
    boost::asio::ip::make_address_v4(ip, ec);
    if (ec)
    {
        return failure(error_kind::bad_request,
                       fmt::format("\"{}\" is not an IPv4 address", ip));
    }
    auto const digits = text.substr(colon + 1);
    std::uint16_t port = 0;
    auto const parsed =
        std::from_chars(digits.data(), digits.data() + digits.size(), port);
    if (parsed.ec != std::errc{} ||
        parsed.ptr != digits.data() + digits.size() || port == 0)
    {
        return failure(error_kind::bad_request,
                       fmt::format("\"{}\" is not a port number", digits));
    }
    return endpoint{ip_address(ip), port_number(port)};
}

} // namespace yuccafall::core
