// Handles one request of a caller, from its arrival to its response.
#ifndef YUCCAFALL_INGRESS_CALL_HPP
#define YUCCAFALL_INGRESS_CALL_HPP

#include <memory>
#include <optional>
#include <set>
#include <string>

#include <boost/asio/steady_timer.hpp>

#include "http/server.hpp"
#include "ingress/ingress.hpp"
#include "ingress/next_step.hpp"

namespace yuccafall::ingress {

// Invariant: a call answers its caller exactly once, or never if the caller has
// disconnected.
class call : public std::enable_shared_from_this<call>
{
public:
    call(std::shared_ptr<ingress> in,
         std::shared_ptr<http::server_connection> caller,
         http::request message);

    void start();

private:
    core::result<void> resolve_route();
    bool is_poisoned() const;
    void try_next_upstream();
    void send_offer(balancing::chosen const& choice);
    void on_message(peers::message it);
    void on(peers::body_request const& it);
    void on(peers::refused const& it);
    void on(peers::answered& it);
    void on(peers::failed const& it);
    template <class Other>
    void on(Other const&)
    {}
    void on_connection_lost(peers::connection_loss const& loss);

    // Handles the end of an attempt that brought no answer.
    void on_attempt_ended(attempt_result const& result,
                          balancing::outcome outcome);
    void update_retry_after(attempt_result const& result,
                            next_step const& step);
    void apply(try_another const& it, attempt_result const& result);
    void apply(give_up const& it, attempt_result const& result);
    void close_attempt(balancing::outcome outcome);
    call_progress progress(core::instant now) const;

    void start_deadline_timer();
    void on_deadline_passed();
    void on_caller_disconnected();
    void send_answer(http::response response, core::milliseconds run_time);
    void send_error(core::error const& why, core::milliseconds retry_after);
    void finish();

    std::shared_ptr<ingress> ingress_;
    std::shared_ptr<http::server_connection> caller_;
    http::request message_;
    // Invariant: this snapshot does not change from start to end of the call.
    std::shared_ptr<traffic_view const> view_;
    boost::asio::steady_timer timer_;

    core::request_id request_id_;
    // The call counts as one that a worker makes for a request that it runs.
    bool nested_ = false;
    routing::route const* route_ = nullptr;
    core::service_name service_;
    std::vector<balancing::upstream> const* upstreams_ = nullptr;
    core::instant arrived_at_;
    core::instant deadline_;
    // The call meets the route's latency target if it is answered by this time.
    core::instant target_time_;

    std::set<core::upstream_id> tried_upstreams_;
    std::uint32_t workers_reached_ = 0;
    std::uint32_t redirects_ = 0;
    std::uint32_t offers_for_free_slot_ = 0;
    core::milliseconds retry_after_{0};
    bool may_have_run_ = false;

    // The members from here to body_sent_ describe the current attempt.
    std::optional<core::call_id> attempt_id_;
    balancing::upstream const* upstream_ = nullptr;
    peers::link_key peer_connection_;
    // The offer asked the other node to refuse the call unless a slot was free.
    bool had_alternative_ = false;
    // This is false while the other node has not been sent the body and so
    // cannot run the call.
    bool body_sent_ = false;
    bool finished_ = false;
};

} // namespace yuccafall::ingress

#endif
