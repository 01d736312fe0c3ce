// Writes the log lines about the calls of callers, as far as
// core::admit_request_line() admits them.
#ifndef YUCCAFALL_INGRESS_CALL_LOG_HPP
#define YUCCAFALL_INGRESS_CALL_LOG_HPP

#include "admission/first_node_admission.hpp"
#include "balancing/upstream_scores.hpp"
#include "core/error.hpp"
#include "core/units.hpp"
#include "http/response_fault.hpp"
#include "ingress/attempt_history.hpp"
#include "ingress/request_router.hpp"

namespace yuccafall::ingress {

void log_first_node_refusal(call_terms const& terms,
                            attempt_history const& history,
                            admission::first_node_refused const& why);

// The call gets another attempt after one at the upstream `from`.
void log_move(call_terms const& terms, attempt_history const& history,
              balancing::upstream const& from, bool uses_retry_budget);

// The caller has left. The upstream is that of the latest attempt, or null if
// there was none.
void log_disconnect(call_terms const& terms,
                    balancing::upstream const* upstream, bool attempt_open,
                    core::instant now);

struct response_summary
{
    int status = 0;
    // Time since the arrival of the request.
    core::milliseconds took{0};
    // Time in the worker.
    core::milliseconds ran{0};
};

void log_response(call_terms const& terms, attempt_history const& history,
                  balancing::upstream const& upstream,
                  response_summary const& response);

// The response that the node beside the upstream has passed on is not used.
void log_invalid_response(call_terms const& terms,
                          balancing::upstream const& upstream,
                          http::invalid_response const& why);

// The caller gets an error response of this kind. The upstream is that of the
// latest attempt and the view that of the call; both may be null.
void log_error(call_terms const& terms, attempt_history const& history,
               balancing::upstream const* upstream, traffic_view const* view,
               core::error const& why, core::milliseconds retry_after,
               core::instant now);

} // namespace yuccafall::ingress

#endif
