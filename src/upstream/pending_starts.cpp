// Schedules the starts through the queue of the executor.
#include "upstream/pending_starts.hpp"

#include <utility>

#include <boost/asio/post.hpp>

namespace yuccafall::upstream {

// One posted handler may run before the executor has checked its sockets again.
// The second one is queued behind the sockets that the first check finds ready.
void pending_starts::add(core::call_id const& call)
{
    calls_.insert(call);
    boost::asio::post(executor_, [weak = weak_from_this(), call] {
        auto const self = weak.lock();
        if (!self || !self->contains(call))
        {
            return;
        }
        boost::asio::post(self->executor_, [weak, call] {
            if (auto const it = weak.lock())
            {
                it->start_if_pending(call);
            }
        });
    });
}

void pending_starts::start_if_pending(core::call_id const& call)
{
    if (remove(call))
    {
        start_(call);
    }
}

std::vector<core::call_id> pending_starts::remove_all()
{
    auto const calls = std::exchange(calls_, {});
    return {calls.begin(), calls.end()};
}

} // namespace yuccafall::upstream
