// Builds the offer by which this node asks the node beside a worker to run a
// call.
#ifndef YUCCAFALL_INGRESS_CALL_OFFER_HPP
#define YUCCAFALL_INGRESS_CALL_OFFER_HPP

#include "core/units.hpp"
#include "http/message.hpp"
#include "ingress/request_router.hpp"
#include "peers/messages.hpp"

namespace yuccafall::ingress {

// Returns whether the body is sent only after the other node has asked for it,
// and over a separate connection.
bool sends_body_separately(http::request const& request);

// Returns an offer that states what is the same for all attempts of the call.
// Its remaining times are counted from `now`.
peers::offer make_offer(call_terms const& terms, http::request const& request,
                        core::instant now);

} // namespace yuccafall::ingress

#endif
