// A node beside a worker that answers offers with any frame.
#ifndef YUCCAFALL_STAND_INS_RAW_NODE_HPP
#define YUCCAFALL_STAND_INS_RAW_NODE_HPP

#include <functional>
#include <memory>
#include <string>

#include "core/endpoint.hpp"
#include "peers/messages.hpp"
#include "stand_ins/io_context_thread.hpp"
#include "transport/frame_acceptor.hpp"

namespace yuccafall::stand_ins {

class raw_node
{
public:
    // Returns the frame that answers the offer. The connection is closed if the
    // frame is empty.
    using frame_function = std::function<std::string(peers::offer const&)>;

    // Throws std::runtime_error if the node cannot listen.
    explicit raw_node(core::endpoint const& at);
    ~raw_node();

    void set_frame(frame_function it);
    // Returns the number of offers that have arrived.
    int offers();

private:
    void accept(std::shared_ptr<transport::frame_connection> const& it);
    void handle(transport::frame_connection& from, std::string const& frame);

    io_context_thread thread_;
    // Invariant: all members that follow are used only on the thread of
    // thread_.
    std::shared_ptr<transport::frame_acceptor> acceptor_;
    frame_function make_frame_;
    int offers_ = 0;
};

} // namespace yuccafall::stand_ins

#endif
