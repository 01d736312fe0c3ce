// Decodes offers and pings, and ignores other messages.
#include "stand_ins/raw_node.hpp"

#include <stdexcept>
#include <utility>

#include "peers/codec.hpp"

namespace yuccafall::stand_ins {

raw_node::raw_node(core::endpoint const& at)
{
    thread_.invoke([&] {
        auto it = transport::frame_acceptor::listen(
            thread_.context(), at, {},
            [this](std::shared_ptr<transport::frame_connection> const& c) {
                accept(c);
            });
        if (!it)
        {
            throw std::runtime_error(it.error().detail);
        }
        acceptor_ = std::move(*it);
    });
}

raw_node::~raw_node()
{
    thread_.invoke([&] { acceptor_->close([] {}); });
    thread_.stop();
}

void raw_node::set_frame(frame_function it)
{
    thread_.invoke([&] { make_frame_ = std::move(it); });
}

int raw_node::offers()
{
    return thread_.invoke([&] { return offers_; });
}

void raw_node::accept(std::shared_ptr<transport::frame_connection> const& it)
{
    it->start({[this, weak = std::weak_ptr(it)](std::string const& frame) {
                   if (auto const from = weak.lock())
                   {
                       handle(*from, frame);
                   }
               },
               nullptr, [](core::error const&) {}});
}

void raw_node::handle(transport::frame_connection& from,
                      std::string const& frame)
{
    auto const message = peers::decode(frame);
    if (!message)
    {
        return;
    }
    if (std::holds_alternative<peers::ping>(*message))
    {
        from.send(peers::encode(peers::pong{}));
    }
    auto const* offer = std::get_if<peers::offer>(&*message);
    if (offer == nullptr)
    {
        return;
    }
    ++offers_;
    auto out = make_frame_(*offer);
    if (out.empty())
    {
        from.close({core::error_kind::io, "the node closes the connection"});
        return;
    }
    from.send(std::move(out));
}

} // namespace yuccafall::stand_ins
