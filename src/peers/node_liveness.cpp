// Measures the silence of a node.
#include "peers/node_liveness.hpp"

#include <algorithm>
#include <utility>

namespace yuccafall::peers {

void node_liveness::record_call_opened(core::instant now)
{
    if (open_calls_ == 0 && !pinged_)
    {
        silent_since_ = now;
    }
    ++open_calls_;
}

void node_liveness::record_call_closed()
{
    open_calls_ -= open_calls_ > 0 ? 1 : 0;
}

bool node_liveness::record_byte(core::instant at)
{
    if (at <= last_byte_)
    {
        return false;
    }
    last_byte_ = at;
    return end_silence(at);
}

bool node_liveness::record_connection_lost(core::instant now)
{
    return end_silence(now);
}

bool node_liveness::check(core::instant due, core::instant now)
{
    if (now - due > settings_.max_loop_delay)
    {
        silent_since_ = now;
    }
    if (unresponsive_ || !pinged_ ||
        silence(now) < settings_.unresponsive_after)
    {
        return false;
    }
    unresponsive_ = true;
    return true;
}

bool node_liveness::end_silence(core::instant at)
{
    silent_since_ = std::max(silent_since_, at);
    pinged_ = false;
    return std::exchange(unresponsive_, false);
}

} // namespace yuccafall::peers
