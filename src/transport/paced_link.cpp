// Passes the pacer's grants to the handlers of the connections.
#include "transport/paced_link.hpp"

#include <utility>

namespace yuccafall::transport {

paced_link::paced_link(boost::asio::any_io_executor const& executor,
                       link_pacer_settings settings)
    : pacer_(settings), timer_(executor)
{}

void paced_link::close(link_ticket const& it)
{
    pacer_.close(it);
    handlers_.erase(it);
}

void paced_link::request(link_ticket const& it, grant_handler on_granted)
{
    pacer_.request(it);
    handlers_.emplace(it, std::move(on_granted));
    schedule();
}

void paced_link::schedule()
{
    auto const next = pacer_.next_time();
    if (!next || std::exchange(scheduled_, true))
    {
        return;
    }
    timer_.expires_after(std::max<core::duration>(
        *next - core::boot_clock::now(), core::duration::zero()));
    timer_.async_wait(
        [weak = weak_from_this()](boost::system::error_code const& ec) {
            auto const self = weak.lock();
            if (!self || ec)
            {
                return;
            }
            self->scheduled_ = false;
            self->grant_parts();
        });
}

void paced_link::grant_parts()
{
    while (auto const it = pacer_.next(core::boot_clock::now()))
    {
        auto const found = handlers_.find(it->ticket);
        auto const handler = std::move(found->second);
        handlers_.erase(found);
        handler(it->size);
    }
    schedule();
}

} // namespace yuccafall::transport
