// Tracks the bodies in flight and compares them with the link's bandwidth.
#include "admission/body_intake.hpp"

namespace yuccafall::admission {

core::bytes_per_second body_intake::rate() const
{
    return core::bytes_per_second(settings_.link.value() *
                                  settings_.part_for_bodies.value() / 100);
}

core::duration body_intake::time_for(core::byte_count bytes) const
{
    auto const per_second = rate().value();
    if (per_second == 0)
    {
        return {};
    }
    return std::chrono::duration_cast<core::duration>(
        std::chrono::duration<double>(static_cast<double>(bytes.value()) /
                                      static_cast<double>(per_second)));
}

bool body_intake::has_room() const
{
    return time_for(on_the_way_) < settings_.on_the_way;
}

void body_intake::asked(core::call_id const& call, core::byte_count body)
{
    if (asked_.emplace(call, body).second)
    {
        on_the_way_ = core::byte_count(on_the_way_.value() + body.value());
    }
}

void body_intake::done(core::call_id const& call)
{
    auto const found = asked_.find(call);
    if (found != asked_.end())
    {
        on_the_way_ =
            core::byte_count(on_the_way_.value() - found->second.value());
        asked_.erase(found);
    }
}

} // namespace yuccafall::admission
