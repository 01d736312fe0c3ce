// One request of a caller, from its arrival to its answer.
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

// Invariant: answers its caller exactly once, or not at all where the caller
// has left.
class call : public std::enable_shared_from_this<call>
{
public:
    call(std::shared_ptr<ingress> in,
         std::shared_ptr<http::server_connection> caller, http::request it);

    void start();

private:
    core::result<void> prepare();
    bool is_poisoned() const;
    void try_next();
    void send_offer(balancing::chosen const& it);
    void received(peers::message it);
    void on(peers::body_request const& it);
    void on(peers::refused const& it);
    void on(peers::answered& it);
    void on(peers::failed const& it);
    template <class Other>
    void on(Other const&)
    {}
    void lost(peers::connection_loss const& how);

    // The attempt in hand is over without an answer.
    void attempt_ended(attempt_end const& how, balancing::outcome seen);
    void note_retry_after(attempt_end const& how, next_step const& step);
    void act(try_another const& it, attempt_end const& how);
    void act(give_up const& it, attempt_end const& how);
    void leave_attempt(balancing::outcome seen);
    call_progress progress(core::instant now) const;

    void watch_deadline();
    void deadline_passed();
    void caller_left();
    void answer(http::response it, core::milliseconds ran_for);
    void refuse(core::error const& why, core::milliseconds retry_after);
    void finish();

    std::shared_ptr<ingress> in_;
    std::shared_ptr<http::server_connection> caller_;
    http::request message_;
    // The same from start to end.
    std::shared_ptr<traffic_view const> view_;
    boost::asio::steady_timer timer_;

    core::request_id request_;
    // Taken to be made by a worker for a request that it runs.
    bool nested_ = false;
    routing::route const* route_ = nullptr;
    core::service_name service_;
    std::vector<balancing::upstream> const* upstreams_ = nullptr;
    core::instant arrived_;
    core::instant deadline_;
    core::instant aim_;

    std::set<core::upstream_id> tried_;
    std::uint32_t workers_reached_ = 0;
    std::uint32_t redirects_ = 0;
    std::uint32_t offers_for_free_slot_ = 0;
    core::milliseconds retry_after_{0};
    bool may_have_run_ = false;

    // The attempt in hand.
    std::optional<core::call_id> attempt_;
    balancing::upstream const* upstream_ = nullptr;
    peers::link_key path_;
    bool had_alternative_ = false;
    // False while the other node lacks the body and so cannot run the call.
    bool body_sent_ = false;
    bool finished_ = false;
};

} // namespace yuccafall::ingress

#endif
