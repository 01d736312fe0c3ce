// Runs the event loop of a thread.
#ifndef YUCCAFALL_CORE_EVENT_LOOP_HPP
#define YUCCAFALL_CORE_EVENT_LOOP_HPP

#include <cstdint>
#include <string_view>

#include <boost/asio/io_context.hpp>

namespace yuccafall::core {

// Runs handlers until the context is stopped or has no work left. An exception
// that leaves a handler ends that handler only: it is logged with the name of
// the loop, and the loop goes on, so that one unexpected message does not end
// the process with all its calls.
void run_event_loop(boost::asio::io_context& context, std::string_view name);

// Returns the number of handlers of all loops that an exception has ended. Each
// one is a fault of the program. May be called on any thread.
std::uint64_t failed_handlers();

} // namespace yuccafall::core

#endif
