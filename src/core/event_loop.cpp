// Catches the exceptions of handlers.
#include "core/event_loop.hpp"

#include <atomic>
#include <exception>

#include "core/log.hpp"

namespace yuccafall::core {

namespace {

std::atomic<std::uint64_t> failed_handler_count{0};

} // namespace

std::uint64_t failed_handlers()
{
    return failed_handler_count.load(std::memory_order_relaxed);
}

void run_event_loop(boost::asio::io_context& context, std::string_view name)
{
    for (;;)
    {
        try
        {
            context.run();
            return;
        }
        catch (std::exception const& e)
        {
            failed_handler_count.fetch_add(1, std::memory_order_relaxed);
            // The limit on lines about requests also bounds these.
            if (admit_request_line(request_event::exceptional))
            {
                log_event(log_level::error, "handler_failed",
                          {{"loop", name}, {"reason", e.what()}});
            }
        }
    }
}

} // namespace yuccafall::core
