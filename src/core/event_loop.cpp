// Catches the exceptions of handlers.
#include "core/event_loop.hpp"

#include <exception>

#include "core/log.hpp"

namespace yuccafall::core {

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
