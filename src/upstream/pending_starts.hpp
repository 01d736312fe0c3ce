// Delays the start of calls until the input that has already arrived has been
// handled. A `cancel` that is in a receive buffer when the slot queue starts a
// call thus removes the call before anything is sent to the worker.
#ifndef YUCCAFALL_UPSTREAM_PENDING_STARTS_HPP
#define YUCCAFALL_UPSTREAM_PENDING_STARTS_HPP

#include <functional>
#include <memory>
#include <set>
#include <vector>

#include <boost/asio/any_io_executor.hpp>

#include "core/ids.hpp"

namespace yuccafall::upstream {

// Not thread-safe: each object is used on the thread of its executor only.
class pending_starts : public std::enable_shared_from_this<pending_starts>
{
public:
    using start_handler = std::function<void(core::call_id const&)>;

    // The handler is called on the executor, never from within add().
    pending_starts(boost::asio::any_io_executor executor, start_handler start)
        : executor_(std::move(executor)), start_(std::move(start))
    {}

    // Schedules the start of the call. An id must not be added again.
    void add(core::call_id const& call);

    // Returns whether the start of the call is scheduled.
    bool contains(core::call_id const& call) const
    {
        return calls_.count(call) != 0;
    }

    // Cancels the start of the call. Returns false if none is scheduled.
    bool remove(core::call_id const& call) { return calls_.erase(call) != 0; }

    // Cancels all scheduled starts and returns their calls.
    std::vector<core::call_id> remove_all();

private:
    void start_if_pending(core::call_id const& call);

    boost::asio::any_io_executor executor_;
    start_handler start_;
    std::set<core::call_id> calls_;
};

} // namespace yuccafall::upstream

#endif
