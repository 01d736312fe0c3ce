// Tests the event loop.
#include <stdexcept>

#include <boost/asio/post.hpp>
#include <catch2/catch.hpp>

#include "core/event_loop.hpp"

using namespace yuccafall;

// Guards against one unexpected error that takes down a whole process.
TEST_CASE("an exception ends its handler and not the loop")
{
    boost::asio::io_context context;
    bool later_handler_ran = false;
    boost::asio::post(context, [] { throw std::runtime_error("unexpected"); });
    boost::asio::post(context, [&] { later_handler_ran = true; });
    auto const failed_before = core::failed_handlers();
    core::run_event_loop(context, "test");
    REQUIRE(later_handler_ran);
    REQUIRE(core::failed_handlers() == failed_before + 1);
}
