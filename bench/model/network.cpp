// Implements the transfer of messages over the links of the VMs.
#include "bench/model/network.hpp"

#include <cmath>
#include <utility>

namespace yuccafall::bench::model {

namespace {

// One-way delay between two VMs of a data centre. It includes the time that
// both ends take to handle the message.
constexpr core::duration local_delay = std::chrono::microseconds(400);

} // namespace

bool network::is_paced(double bytes) const
{
    return rules_->paces_responses &&
           bytes > static_cast<double>(transport::max_unpaced_message.value());
}

void network::send_response(node& sender, node& receiver, double bytes,
                            std::function<void()> on_arrival)
{
    if (&sender == &receiver || !is_paced(bytes))
    {
        send(sender, receiver, bytes, std::move(on_arrival));
        return;
    }
    auto const ticket = sender.response_pacer.open(
        core::byte_count(static_cast<std::uint64_t>(bytes)));
    sender.paced_responses.emplace(
        ticket,
        paced_response{std::floor(bytes), &receiver, std::move(on_arrival)});
    sender.response_pacer.request(ticket);
    send_parts(sender);
}

void network::send_parts(node& sender)
{
    auto& pacer = sender.response_pacer;
    while (auto const part = pacer.next(events_->now()))
    {
        auto const found = sender.paced_responses.find(part->ticket);
        auto& it = found->second;
        auto const bytes = static_cast<double>(part->size.value());
        it.remaining_bytes -= bytes;
        bool const is_last = it.remaining_bytes <= 0;
        send(
            sender, *it.receiver, bytes,
            is_last ? std::move(it.on_arrival) : [] {});
        if (is_last)
        {
            sender.paced_responses.erase(found);
            pacer.close(part->ticket);
            continue;
        }
        pacer.request(part->ticket);
    }
    auto const next = pacer.next_time();
    if (next && !std::exchange(sender.part_scheduled, true))
    {
        events_->schedule_at(*next, [this, &sender] {
            sender.part_scheduled = false;
            send_parts(sender);
        });
    }
}

void network::send(node& sender, node& receiver, double bytes,
                   std::function<void()> on_arrival)
{
    if (&sender == &receiver)
    {
        events_->schedule_after({}, std::move(on_arrival));
        return;
    }
    ++messages_;
    core::duration delay = local_delay;
    if (sender.data_centre_index != receiver.data_centre_index)
    {
        delay += spec_->cross_data_centre_delay;
        cross_data_centre_bytes_ += bytes;
    }
    auto const send_time = sender.outbound.transmit(events_->now(), bytes);
    events_->schedule_after(
        send_time + delay,
        [this, &receiver, bytes, on_arrival = std::move(on_arrival)]() mutable {
            events_->schedule_after(
                receiver.inbound.transmit(events_->now(), bytes),
                std::move(on_arrival));
        });
}

} // namespace yuccafall::bench::model
