// Handles one request of a caller, from its arrival to its response.
//
// Terms:
// - A caller is a client or a worker that sends a request to this node.
// - A call is one request of a caller. If the caller sends the request again,
//   that is a new call.
// - An offer is the message by which this node asks the node beside a worker to
//   run the call. Each offer begins an attempt, which ends with a response, a
//   refusal, a failure or the loss of the connection, or is given up.
// - A retry is a further attempt after one that reached a worker. It counts
//   against the retry budget. A redirect is a further attempt after one that
//   reached no worker, unless the offer was refused because it required a
//   free slot.
#ifndef YUCCAFALL_INGRESS_CALL_HPP
#define YUCCAFALL_INGRESS_CALL_HPP

#include <memory>
#include <optional>

#include <boost/asio/steady_timer.hpp>

#include "admission/first_node_admission.hpp"
#include "http/server.hpp"
#include "ingress/attempt_history.hpp"
#include "ingress/ingress.hpp"
#include "ingress/next_step.hpp"
#include "ingress/open_attempt.hpp"
#include "ingress/request_router.hpp"

namespace yuccafall::ingress {

// Invariant: a call sends its caller exactly one response, or none if the
// caller has disconnected.
class call : public std::enable_shared_from_this<call>
{
public:
    call(std::shared_ptr<ingress> parent,
         std::shared_ptr<http::server_connection> caller_connection,
         http::request request);

    void start();
    // Ends the call at this time if its deadline is later.
    void limit_deadline(core::instant deadline);
    // Offers the call to another worker if its attempt is open at an
    // unresponsive node and it may be offered again.
    void leave_unresponsive_node();

private:
    // Sets the terms of the call, and the headers that go to the worker.
    core::result<void> resolve_route();
    // Returns whether the responses of the route are usually so long that they
    // are sent in parts.
    bool expects_long_response() const;
    // Reserves memory for a response of the usual size of the route. Returns
    // false if there is none, so that the call is refused before it runs.
    bool reserve_response_memory();
    void try_next_upstream();
    // Returns whether another node has reported, since the call began, that the
    // request crashes workers.
    bool is_poisoned_meanwhile() const;
    balancing::choice choose_upstream(core::instant now);
    // Returns whether the call is refused without an offer, because the
    // queues of all compared workers would refuse it.
    bool is_refused_at_first_node(balancing::chosen const& choice,
                                  core::instant now);
    void refuse_at_first_node(admission::first_node_refused const& why);
    void send_offer(balancing::chosen const& choice);
    void on_message(peers::message it);
    void on(peers::body_request const& it);
    void on(peers::refused const& it);
    void on(peers::answered& it);
    void on(peers::failed const& it);
    template <class Other>
    void on(Other const&)
    {}
    void record_leaving(bool worker_leaves);
    // Ends the attempt as one that brought no response.
    void reject_response(http::invalid_response const& why);
    void on_connection_lost(peers::connection_loss const& loss);

    // Handles the end of an attempt that brought no response.
    void on_attempt_ended(attempt_result const& result);
    void apply(try_another const& step, attempt_result const& result);
    void apply(give_up const& step, attempt_result const& result);
    // Counts and logs an attempt that follows another one.
    void record_further_attempt(try_another const& step);
    void close_attempt(balancing::outcome outcome);
    // Sends a cancel to the other node and closes the attempt.
    void abandon_attempt();

    void start_deadline_timer();
    void on_deadline_passed();
    void on_caller_disconnected();
    void send_worker_response(http::response response,
                              core::milliseconds run_time);
    void send_error(core::error const& why, core::milliseconds retry_after);
    void finish();

    std::shared_ptr<ingress> ingress_;
    std::shared_ptr<http::server_connection> caller_connection_;
    http::request request_;
    // Invariant: this snapshot does not change from start to end of the call.
    std::shared_ptr<traffic_view const> view_;
    boost::asio::steady_timer deadline_timer_;

    // The route is null until it has been found.
    call_terms terms_;
    attempt_history history_;

    // Held until the response arrives. The caller's connection counts the
    // response from then on.
    core::held_memory response_memory_;

    // The upstream of the current or the latest attempt. Null before the first.
    balancing::upstream const* upstream_ = nullptr;
    // Empty while no attempt is open.
    std::optional<open_attempt> attempt_;
    // True once the caller has been sent its response or has disconnected.
    bool finished_ = false;
};

} // namespace yuccafall::ingress

#endif
