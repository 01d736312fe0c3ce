// Sends the messages of an attempt and reads how it ended.
#include "ingress/open_attempt.hpp"

#include <utility>

namespace yuccafall::ingress {

open_attempt::open_attempt(std::shared_ptr<peers::peer_links> links,
                           peers::link_key link, peers::offer const& offer,
                           peers::call_handlers handlers)
    : links_(std::move(links)), link_(std::move(link)), id_(offer.call),
      requires_free_slot_(offer.has_alternative),
      body_sent_(!offer.body_follows)
{
    links_->open(link_, id_, std::move(handlers));
    links_->send(link_, offer);
}

void open_attempt::send_body(std::string body)
{
    body_sent_ = true;
    links_->send(link_, peers::body_data{id_, std::move(body)});
}

void open_attempt::cancel()
{
    links_->send(link_, peers::cancel{id_});
}

void open_attempt::close()
{
    links_->close(link_, id_);
}

attempt_result open_attempt::result_of(peers::refused const& it) const
{
    return attempt_refused{it.kind, it.retry_after, it.reached_worker,
                           requires_free_slot_};
}

attempt_result open_attempt::result_of(peers::failed const& it) const
{
    return attempt_failed{it.kind, it.detail};
}

attempt_result open_attempt::result_of(peers::connection_loss const& it) const
{
    return connection_lost{it.may_have_arrived && body_sent_, it.reason};
}

connection_lost open_attempt::result_if_abandoned() const
{
    return {body_sent_, "the node is unresponsive"};
}

} // namespace yuccafall::ingress
