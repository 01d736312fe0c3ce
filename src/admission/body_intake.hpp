// Paces the long bodies that other nodes send to this one.
//
// Bodies share a VM's link with short messages. More of them at a time than the
// link carries in a moment would only queue there, in front of the offers and
// answers of calls that last less than one body takes.
#ifndef YUCCAFALL_ADMISSION_BODY_INTAKE_HPP
#define YUCCAFALL_ADMISSION_BODY_INTAKE_HPP

#include <map>

#include "core/ids.hpp"
#include "core/units.hpp"

namespace yuccafall::admission {

struct intake_settings
{
    // Of the VM's link; 0 where it is not known, and nothing is paced then.
    core::bytes_per_second link{0};
    // Part of the link that bodies are expected to get. The rest carries
    // answers, heads and control messages.
    core::percentage part_for_bodies{80};
    // Bodies on their way at a time, as time on the link. Longer than the way
    // to another data centre and back, so that the link does not idle between
    // two bodies.
    core::milliseconds on_the_way{40};
};

class body_intake
{
public:
    explicit body_intake(intake_settings settings) : settings_(settings) {}

    // Whether another body may be asked for.
    bool has_room() const;
    void asked(core::call_id const& call, core::byte_count body);
    // The body has arrived, or will not come.
    void done(core::call_id const& call);

    core::byte_count on_the_way() const { return on_the_way_; }
    // How long the bytes take; zero where the link is not known.
    core::duration time_for(core::byte_count bytes) const;
    core::bytes_per_second rate() const;

private:
    intake_settings settings_;
    std::map<core::call_id, core::byte_count> asked_;
    // Invariant: the sum over asked_.
    core::byte_count on_the_way_;
};

} // namespace yuccafall::admission

#endif
