// Copies the terms and the request of a call to its offer.
#include "ingress/call_offer.hpp"

#include <algorithm>
#include <chrono>

#include "transport/link_pacer.hpp"

namespace yuccafall::ingress {

namespace {

// A larger body is sent separately, so that it does not delay other messages.
constexpr std::size_t max_inline_body = transport::max_unpaced_message.value();

core::milliseconds time_until(core::instant end, core::instant now)
{
    return std::max(std::chrono::duration_cast<core::milliseconds>(end - now),
                    core::milliseconds(0));
}

} // namespace

bool sends_body_separately(http::request const& request)
{
    return request.body.size() > max_inline_body;
}

peers::offer make_offer(call_terms const& terms, http::request const& request,
                        core::instant now)
{
    peers::offer offer;
    offer.request_id = terms.request_id;
    offer.route = terms.route->name;
    offer.repeatability = terms.route->kind;
    offer.rank = terms.route->rank;
    offer.nested = terms.nested;
    offer.deadline_remaining = time_until(terms.deadline, now);
    offer.target_latency_remaining = time_until(terms.target_time, now);
    offer.body_follows = sends_body_separately(request);
    offer.body_size = core::byte_count(request.body.size());
    offer.http_request.method = request.method;
    offer.http_request.target = request.target;
    offer.http_request.headers = request.headers;
    if (!offer.body_follows)
    {
        offer.http_request.body = request.body;
    }
    return offer;
}

} // namespace yuccafall::ingress
