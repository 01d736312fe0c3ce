// Delivers the messages between the simulated nodes.
#ifndef YUCCAFALL_BENCH_MODEL_NETWORK_HPP
#define YUCCAFALL_BENCH_MODEL_NETWORK_HPP

#include <cstdint>
#include <functional>

#include "bench/model/event_queue.hpp"
#include "bench/model/simulated_node.hpp"
#include "bench/model/simulation.hpp"

namespace yuccafall::bench::model {

// Size on the link of a request head or of a response without content.
constexpr double short_message_bytes = 400;
// A larger body is sent only after the worker's node has accepted the call and
// requested the body.
constexpr double max_inline_body_bytes = 8'192;

class network
{
public:
    // The arguments must outlive this object.
    network(event_queue& events, deployment const& spec, policy const& rules)
        : events_(&events), spec_(&spec), rules_(&rules)
    {}

    // Returns whether responses of this size are sent in parts.
    bool is_paced(double bytes) const;
    void send_response(node& sender, node& receiver, double bytes,
                       std::function<void()> on_arrival);
    // Delivers a message. It passes the sender's link, the network and the
    // receiver's link, unless both ends are the same node.
    void send(node& sender, node& receiver, double bytes,
              std::function<void()> on_arrival);

    std::uint64_t messages() const { return messages_; }
    double cross_data_centre_bytes() const { return cross_data_centre_bytes_; }

private:
    void send_parts(node& sender);

    event_queue* events_;
    deployment const* spec_;
    policy const* rules_;
    std::uint64_t messages_ = 0;
    double cross_data_centre_bytes_ = 0;
};

} // namespace yuccafall::bench::model

#endif
