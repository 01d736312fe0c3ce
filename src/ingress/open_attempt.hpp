// One attempt of a call: an offer to the node beside a worker, from its sending
// until the attempt is closed.
#ifndef YUCCAFALL_INGRESS_OPEN_ATTEMPT_HPP
#define YUCCAFALL_INGRESS_OPEN_ATTEMPT_HPP

#include <memory>
#include <string>

#include "core/ids.hpp"
#include "ingress/next_step.hpp"
#include "peers/messages.hpp"
#include "peers/peer_links.hpp"

namespace yuccafall::ingress {

// Not thread-safe: each object is used on the traffic thread only.
class open_attempt
{
public:
    // Sends the offer over the link. The handlers get what the other node sends
    // until the attempt is closed. They are never called from within a member
    // function of this class.
    open_attempt(std::shared_ptr<peers::peer_links> links, peers::link_key link,
                 peers::offer const& offer, peers::call_handlers handlers);

    // Sends the body, which the other node has asked for.
    void send_body(std::string body);
    // Tells the other node that the response is no longer needed.
    void cancel();
    // Ends the attempt. Must be called exactly once, as the last function.
    void close();

    // Returns how the attempt has ended with the message or the loss of the
    // connection.
    attempt_result result_of(peers::refused const& it) const;
    attempt_result result_of(peers::failed const& it) const;
    attempt_result result_of(peers::connection_loss const& it) const;
    // Returns how the attempt ends if it is given up now.
    connection_lost result_if_abandoned() const;

private:
    std::shared_ptr<peers::peer_links> links_;
    peers::link_key link_;
    core::call_id id_;
    // The offer asks the other node to refuse the call unless a slot is free.
    bool requires_free_slot_;
    // False until the body has been sent to the other node, which cannot run
    // the call without it.
    bool body_sent_;
};

} // namespace yuccafall::ingress

#endif
