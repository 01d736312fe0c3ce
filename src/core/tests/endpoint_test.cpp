// Tests of the formatting and parsing of endpoints.
#include <catch2/catch.hpp>

#include "core/endpoint.hpp"

using namespace yuccafall::core;

// Guards against accepting settings with a host name or a port out of range.
TEST_CASE("an endpoint is an IPv4 address with a port")
{
    REQUIRE(to_string(*parse_endpoint("127.0.0.1:80")) == "127.0.0.1:80");
    for (auto const* text :
         {"", "127.0.0.1", "localhost:80", "127.0.0.1:", "127.0.0.1:0",
          "127.0.0.1:65536", "127.0.0.1:8x", "1.2.3:80", ":80"})
    {
        INFO(text);
        REQUIRE_FALSE(parse_endpoint(text));
    }
}
