// Tracks the bodies in flight and compares them with the link's bandwidth.
#include "admission/body_pacer.hpp"

namespace yuccafall::admission {

core::bytes_per_second body_pacer::body_rate() const
{
    return core::bytes_per_second(settings_.link_bandwidth.value() *
                                  settings_.body_share.value() / 100);
}

core::duration body_pacer::transfer_time(core::byte_count bytes) const
{
    auto const bytes_per_second = body_rate().value();
    if (bytes_per_second == 0)
    {
        return {};
    }
    return std::chrono::duration_cast<core::duration>(
        std::chrono::duration<double>(static_cast<double>(bytes.value()) /
                                      static_cast<double>(bytes_per_second)));
}

bool body_pacer::can_request_body() const
{
    return transfer_time(bytes_in_flight_) < settings_.in_flight_limit;
}

void body_pacer::add(core::call_id const& call, core::byte_count body_size)
{
    if (requested_bodies_.emplace(call, body_size).second)
    {
        bytes_in_flight_ =
            core::byte_count(bytes_in_flight_.value() + body_size.value());
    }
}

void body_pacer::remove(core::call_id const& call)
{
    auto const found = requested_bodies_.find(call);
    if (found != requested_bodies_.end())
    {
        bytes_in_flight_ =
            core::byte_count(bytes_in_flight_.value() - found->second.value());
        requested_bodies_.erase(found);
    }
}

} // namespace yuccafall::admission
