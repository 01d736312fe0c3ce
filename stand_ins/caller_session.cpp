// Runs the connections of one caller on its own thread.
#include "stand_ins/caller_session.hpp"

#include <optional>

namespace yuccafall::stand_ins {

namespace {

// Runs the context until the value is set. The read that a kept connection has
// pending would keep the context running for ever.
template <class Value>
void run_until_set(boost::asio::io_context& context,
                   std::optional<Value> const& value)
{
    context.restart();
    while (!value && context.run_one() > 0)
    {}
}

} // namespace

caller_session::~caller_session()
{
    for (auto const& [to, it] : open_)
    {
        it->close();
    }
    context_.restart();
    context_.poll();
}

caller_session::connection caller_session::connect(core::endpoint const& to,
                                                   core::milliseconds timeout)
{
    auto it =
        std::make_shared<http::client_connection>(context_.get_executor());
    std::optional<core::result<void>> connected;
    it->connect(to, timeout,
                [&](core::result<void> const& result) { connected = result; });
    run_until_set(context_, connected);
    return connected && *connected ? it : nullptr;
}

call_result caller_session::call(core::endpoint const& to,
                                 http::request const& it,
                                 core::milliseconds timeout)
{
    auto const start = core::boot_clock::now();
    call_result result;
    auto& open = open_[to];
    if (!open || !open->reusable())
    {
        open = connect(to, timeout);
    }
    if (open)
    {
        http::exchange_options options;
        options.timeout = timeout;
        std::optional<http::exchange_result> response;
        open->exchange(
            http::serialize(it), std::move(options),
            [&](http::exchange_result r) { response = std::move(r); });
        run_until_set(context_, response);
        if (response && *response)
        {
            result.status = (*response)->status;
            result.headers = std::move((*response)->headers);
            result.body = std::move((*response)->body);
        }
    }
    else
    {
        open_.erase(to);
    }
    result.took = core::boot_clock::now() - start;
    return result;
}

} // namespace yuccafall::stand_ins
